import { err, ok, type Result } from 'neverthrow';
import {
  RefusalReason,
  ReplayableBody,
  BufferedBody,
  hasReachedTarget,
  isNotRun,
  runsAtMostOnce,
  makeUnknownRefusal,
  type Answer,
  type AttemptFailure,
  type Call,
  type Refusal,
  type RetryBudget,
} from '../contract/mod.ts';
import type { Instance } from '../instance/mod.ts';

const SERVER_ERROR_STATUS = 500;
/** Guards that may refuse one call before it is refused as a whole; bounds the time until then. */
const MAX_GUARD_REFUSALS = 4;
/** Targets that may turn one call away as too slow at the moment before one of them has to run it. */
const MAX_SLOW_TARGETS = 2;

/** What the attempts of one call have shown, and whether another may follow. */
export class CallProgress {
  /** Names of instances that were tried. */
  readonly excluded = new Set<string>();
  #call: Call;
  #budget: RetryBudget;
  readonly #slow: string[] = [];
  /** Instances whose guards differ from the version that the call was decided by. */
  readonly #differing: string[] = [];
  #reached = 0;
  #refused = 0;
  #insists = false;
  #mayHaveRun = false;
  #last: Refusal | undefined;
  #failed: Answer | undefined;

  /**
   * @param call The call.
   * @param budget Bounds the further attempts of all calls to its pool.
   */
  constructor(call: Call, budget: RetryBudget) {
    this.#call = call;
    this.#budget = budget;
  }

  /** @returns The call, under the newest rules that it was brought to. */
  get call(): Call {
    return this.#call;
  }

  /** @returns Whether the next target runs the call however slow it is. */
  get acceptsSlowTarget(): boolean {
    return this.#insists;
  }

  /**
   * Takes an answer.
   *
   * @param answer The answer of a target.
   * @returns Whether to give it to the caller; otherwise it is kept in case no better one can be had.
   */
  recordAnswer(answer: Answer): boolean {
    this.#reached += 1;
    if (!this.#isWorthAnother(answer)) return true;
    this.#mayHaveRun = true;
    this.#failed = answer;
    return false;
  }

  /**
   * Takes the failure of an attempt.
   *
   * @param failure How it ended.
   * @param instance Instance that it was sent to.
   * @returns Whether another target may be tried.
   */
  recordFailure(failure: AttemptFailure, instance: Instance): boolean {
    this.#record(failure, instance);
    if (!this.#isRepeatable(failure) || this.#refused > MAX_GUARD_REFUSALS) return false;
    // An attempt that a guard refused costs its target nothing.
    if (!hasReachedTarget(failure)) return true;
    return this.#reached < this.#call.route.maxAttempts && this.#budget.tryAcquire();
  }

  /**
   * Goes on under newer rules, with targets that refused by them before.
   *
   * @param call The call under the newer rules.
   * @param budgetOf Gives what bounds the further attempts of all calls to another pool.
   * @returns Whether they permit that it goes on; one that may have run must be repeatable still.
   */
  updateCall(call: Call, budgetOf: (call: Call) => RetryBudget): boolean {
    if (this.#mayHaveRun && runsAtMostOnce(call.route)) return false;
    if (call.pool !== this.#call.pool) {
      this.#budget = budgetOf(call);
      this.#readmit(this.#slow);
      this.#insists = false;
    }
    this.#call = call;
    this.#refused -= this.#differing.length;
    this.#readmit(this.#differing);
    return true;
  }

  #readmit(ids: string[]): void {
    for (const id of ids) this.excluded.delete(id);
    ids.length = 0;
  }

  /**
   * Goes back to the targets that were too slow; one of them is to run the call.
   *
   * @returns Whether there are any.
   */
  readmitSlowTargets(): boolean {
    if (this.#insists || this.#slow.length === 0) return false;
    this.#insists = true;
    for (const id of this.#slow) this.excluded.delete(id);
    return true;
  }

  /**
   * @param refusal Why no other target is tried.
   * @returns How the call ends. An earlier attempt that may have run makes its outcome unknown.
   */
  conclude(refusal: Refusal): Result<Answer, Refusal> {
    if (this.#failed) return ok(this.#failed);
    // That no target is left tells less than why the last one failed.
    const isLast = refusal.reason === RefusalReason.NoTarget;
    const telling = isLast ? (this.#last ?? refusal) : refusal;
    return err(this.#mayHaveRun ? makeUnknownRefusal(telling.reason, telling.detail) : telling);
  }

  #record(failure: AttemptFailure, instance: Instance): void {
    this.#mayHaveRun ||= !isNotRun(failure.kind);
    this.#last = failure.refusal;
    if (hasReachedTarget(failure)) this.#reached += 1;
    else this.#refused += 1;
    if (failure.refusal.reason === RefusalReason.VersionsDiffer) this.#differing.push(instance.id);
    if (failure.refusal.reason !== RefusalReason.TargetSlow) return;
    this.#slow.push(instance.id);
    if (this.#slow.length >= MAX_SLOW_TARGETS) this.readmitSlowTargets();
  }

  /** A server error of an idempotent call may be the target's own; another one is tried. */
  #isWorthAnother(answer: Answer): boolean {
    if (answer.status < SERVER_ERROR_STATUS || !(answer.body instanceof BufferedBody)) return false;
    if (runsAtMostOnce(this.#call.route) || !this.#canBeSentAgain()) return false;
    return this.#reached < this.#call.route.maxAttempts && this.#budget.tryAcquire();
  }

  #isRepeatable({ kind, refusal }: AttemptFailure): boolean {
    if (refusal.reason === RefusalReason.Quarantined) return false;
    if (refusal.reason === RefusalReason.BodyCut) return false;
    if (!this.#canBeSentAgain()) return false;
    return isNotRun(kind) || !runsAtMostOnce(this.#call.route);
  }

  #canBeSentAgain(): boolean {
    const { signal, deadline, body } = this.#call;
    if (signal.aborted || deadline.hasPassed) return false;
    return !(body instanceof ReplayableBody && body.hasExceededReplayLimit);
  }
}
