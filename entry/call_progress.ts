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
/** Number of guard refusals up to which a call is retried; limits the time until it is refused. */
const MAX_GUARD_REFUSALS = 4;
/** Number of targets that may refuse a call as too slow before one of them has to execute it. */
const MAX_SLOW_TARGETS = 2;

/** Records what the attempts of one call have shown and decides whether it may be retried. */
export class CallProgress {
  /** IDs of the instances that were tried and may not be tried again. */
  readonly excluded = new Set<string>();
  #call: Call;
  #budget: RetryBudget;
  readonly #slowTargets: string[] = [];
  readonly #rateLimitedTargets: string[] = [];
  /** Instances whose guards refused because their version differs from that of the call. */
  readonly #versionMismatches: string[] = [];
  #reachedCount = 0;
  #refusedCount = 0;
  #lostCount = 0;
  #acceptsDelay = false;
  #mayHaveRun = false;
  #lastRefusal: Refusal | undefined;
  #serverError: Answer | undefined;
  /** Shortest time until the rate of a target that refused permits another start, in milliseconds. */
  #startDelayMs = Infinity;

  /**
   * @param call The call.
   * @param budget Retry budget of its pool.
   */
  constructor(call: Call, budget: RetryBudget) {
    this.#call = call;
    this.#budget = budget;
  }

  /** @returns The call, as resolved last. */
  get call(): Call {
    return this.#call;
  }

  /** @returns Number of attempts of which it is unknown whether their target ran the call. */
  get lostCount(): number {
    return this.#lostCount;
  }

  /** @returns Whether the next target accepts the call even if it runs late. */
  get acceptsDelay(): boolean {
    return this.#acceptsDelay;
  }

  /**
   * Records an answer.
   *
   * @param answer The answer of a target.
   * @returns Whether to return it to the caller. If not, the call is retried, and the answer is
   * stored in case no retry gets another one.
   */
  recordAnswer(answer: Answer): boolean {
    this.#reachedCount += 1;
    if (!this.#shouldRetryAnswer(answer)) return true;
    this.#mayHaveRun = true;
    this.#serverError = answer;
    return false;
  }

  /**
   * Records a failed attempt.
   *
   * @param failure How the attempt failed.
   * @param instance Instance that it was sent to.
   * @returns Whether another target may be tried.
   */
  recordFailure(failure: AttemptFailure, instance: Instance): boolean {
    this.#recordRefusal(failure, instance);
    if (!this.#mayRetry(failure)) return false;
    if (this.#refusedCount > MAX_GUARD_REFUSALS)
      return this.#rateLimitedTargets.length > 0 && this.readmitDelayingTargets();
    // An attempt that a guard refused puts no load on its target, so it costs no retry budget.
    if (!hasReachedTarget(failure)) return true;
    return this.#reachedCount < this.#call.route.maxAttempts && this.#budget.tryAcquire();
  }

  /**
   * Continues with the call as re-resolved under a newer version. Targets that refused because
   * their version differs may be tried again.
   *
   * @param call The re-resolved call.
   * @param recordCall Counts the call at its new pool and returns the pool's retry budget.
   * @returns Whether the call may continue. A call that may have run continues only if its
   * route is still idempotent.
   */
  updateCall(call: Call, recordCall: (call: Call) => RetryBudget): boolean {
    if (this.#mayHaveRun && runsAtMostOnce(call.route)) return false;
    if (call.pool !== this.#call.pool) {
      this.#budget = recordCall(call);
      this.#readmit(this.#slowTargets);
      this.#readmit(this.#rateLimitedTargets);
      this.#acceptsDelay = false;
    }
    this.#call = call;
    this.#refusedCount -= this.#versionMismatches.length;
    this.#readmit(this.#versionMismatches);
    return true;
  }

  #readmit(ids: string[]): void {
    for (const id of ids) this.excluded.delete(id);
    ids.length = 0;
  }

  /**
   * Makes the targets that refused because the call would run late available again. The next target
   * accepts it even so.
   *
   * @returns Whether any target became available.
   */
  readmitDelayingTargets(): boolean {
    const delayingTargets = [...this.#slowTargets, ...this.#rateLimitedTargets];
    if (this.#acceptsDelay || delayingTargets.length === 0) return false;
    this.#acceptsDelay = true;
    for (const id of delayingTargets) this.excluded.delete(id);
    return true;
  }

  /**
   * Determines the result of the call when no other target is tried.
   *
   * @param refusal Why no other target is tried.
   * @returns A server error that was stored earlier, or a refusal. The outcome of the refusal is
   * unknown if an earlier attempt may have run.
   */
  conclude(refusal: Refusal): Result<Answer, Refusal> {
    if (this.#serverError) return ok(this.#serverError);
    // The last failure is more specific than the lack of further targets.
    const hasNoTarget = refusal.reason === RefusalReason.NoTarget;
    const cause = hasNoTarget ? (this.#lastRefusal ?? refusal) : refusal;
    if (this.#mayHaveRun) return err(makeUnknownRefusal(cause.reason, cause.detail));
    return err(this.#withStartDelay(cause));
  }

  #withStartDelay(refusal: Refusal): Refusal {
    const isRateLimited = refusal.reason === RefusalReason.TargetRateLimited;
    if (!isRateLimited || !Number.isFinite(this.#startDelayMs)) return refusal;
    return { ...refusal, retryAfterMs: Math.ceil(this.#startDelayMs) };
  }

  #recordRefusal(failure: AttemptFailure, instance: Instance): void {
    if (!isNotRun(failure.kind)) this.#lostCount += 1;
    this.#mayHaveRun ||= this.#lostCount > 0;
    this.#lastRefusal = failure.refusal;
    this.#startDelayMs = Math.min(this.#startDelayMs, failure.load?.startDelayMs ?? Infinity);
    if (hasReachedTarget(failure)) this.#reachedCount += 1;
    else this.#refusedCount += 1;
    if (failure.refusal.reason === RefusalReason.VersionsDiffer)
      this.#versionMismatches.push(instance.id);
    if (failure.refusal.reason === RefusalReason.TargetRateLimited)
      this.#rateLimitedTargets.push(instance.id);
    if (failure.refusal.reason !== RefusalReason.TargetSlow) return;
    this.#slowTargets.push(instance.id);
    if (this.#slowTargets.length >= MAX_SLOW_TARGETS) this.readmitDelayingTargets();
  }

  /** A server error of an idempotent call may be a fault of the target alone; another is tried. */
  #shouldRetryAnswer(answer: Answer): boolean {
    if (answer.status < SERVER_ERROR_STATUS || !(answer.body instanceof BufferedBody)) return false;
    if (runsAtMostOnce(this.#call.route) || !this.#canResend()) return false;
    return this.#reachedCount < this.#call.route.maxAttempts && this.#budget.tryAcquire();
  }

  #mayRetry({ kind, refusal }: AttemptFailure): boolean {
    if (refusal.reason === RefusalReason.Quarantined) return false;
    if (refusal.reason === RefusalReason.BodyCut) return false;
    if (!this.#canResend()) return false;
    return isNotRun(kind) || !runsAtMostOnce(this.#call.route);
  }

  #canResend(): boolean {
    const { signal, deadline, body } = this.#call;
    if (signal.aborted || deadline.hasPassed) return false;
    return !(body instanceof ReplayableBody && body.hasExceededReplayLimit);
  }
}
