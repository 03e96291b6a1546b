import { err, ok, type Result } from 'neverthrow';
import {
  FailureKind,
  ReceiverRole,
  RefusalReason,
  Repeatability,
  BufferedBody,
  isNotRun,
  makeNotRunRefusal,
  runsAtMostOnce,
  makeUnknownRefusal,
  type Answer,
  type Attempt,
  type AttemptFailure,
  type AttemptResult,
  type Call,
  type Pool,
  type Refusal,
  type RetryBudget,
} from '../contract/mod.ts';
import type { Topology } from '../failure_domain/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import {
  ObservedOutcome,
  estimateCostMs,
  type PlacementDecision,
  type Placement,
  type TargetViews,
} from '../placement/mod.ts';
import { Metric, type Metrics } from '../metrics/mod.ts';
import { checkLostAttempts, checkQuarantine, type Quarantine } from '../guard/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import type { AttemptCounter } from './attempt_counter.ts';
import type { CallRouter } from './call_router.ts';
import { CallProgress } from './call_progress.ts';
import { raceHedged } from './hedge.ts';
import { PoolBudgets } from './pool_budgets.ts';
import type { PeerDirectory, PeerPort } from './peer_directory.ts';
import { settleAttempt, awaitResult } from './settle_attempt.ts';

const DEFAULT_RETRY_PERCENT = 10;
/** Time after its deadline at which a non-idempotent attempt counts as lost, in milliseconds. */
const SILENCE_GRACE_MS = 500;
/** Hedged attempts per hundred calls. Their own budget keeps them from using up that of retries. */
const HEDGE_PERCENT = 2;
const SERVER_ERROR_STATUS = 500;
/** Maximum time for settling a keyless call whose link broke, in milliseconds. */
const KEYLESS_SETTLE_MS = 1_000;

/** Order of the entry's configuration version relative to that of the guard that refused. */
enum VersionOrder {
  Older = 'older',
  Same = 'same',
  Newer = 'newer',
}

/** Fleet, topology and configuration as a daemon knows them at one moment. */
export interface ClusterSnapshot {
  fleet: Fleet;
  topology: Topology;
  configurationVersion: number;
  /**
   * Finds a pool of the configuration.
   *
   * @param name Name of the pool.
   * @returns The pool, or undefined if the configuration has none of that name.
   */
  findPool(name: string): Pool | undefined;
}

/** Options of {@linkcode Dispatcher}. */
export interface DispatcherOptions {
  timer: TimerService;
  log: EventLog;
  metrics: Metrics;
  peers: PeerDirectory;
  placement: Placement;
  targetViews: TargetViews;
  quarantine: Quarantine;
  attempts: AttemptCounter;
  router: CallRouter;
  /** @returns The current snapshot. */
  getSnapshot: () => ClusterSnapshot;
  /** @returns Number of retries that may be made at each pool in a burst. */
  getRetryBurst?: () => number;
}

interface OutgoingAttempt {
  decision: PlacementDecision;
  attempt: Attempt;
  port: PeerPort;
}

/** State that a hedged call needs for its attempts. */
interface HedgeContext {
  /** IDs of the instances that were tried. */
  excluded: Set<string>;
  hedgeBudget: RetryBudget;
}

/** Chooses a target for each call, sends it, and retries at other targets while that is safe. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #retryBudgets: PoolBudgets;
  readonly #hedgeBudgets: PoolBudgets;

  /** @param options See {@linkcode DispatcherOptions}. */
  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#retryBudgets = new PoolBudgets(
      (pool) => options.getSnapshot().findPool(pool)?.retryPercent ?? DEFAULT_RETRY_PERCENT,
      options.getRetryBurst,
    );
    this.#hedgeBudgets = new PoolBudgets(() => HEDGE_PERCENT);
  }

  /**
   * Has a call executed by a target.
   *
   * @param call The call; its body must be readable once for each attempt.
   * @returns Its answer, or a refusal whose outcome states whether it may have run.
   */
  async dispatch(call: Call): Promise<Result<Answer, Refusal>> {
    const progress = new CallProgress(call, this.#recordCall(call));
    for (;;) {
      const refreshed = this.#refreshCall(progress);
      if (refreshed.isErr()) return progress.conclude(refreshed.error);
      const decided = this.#decideTarget(progress);
      if (decided.isErr()) {
        if (progress.readmitDelayingTargets()) continue;
        return progress.conclude(decided.error);
      }
      const result = await this.#attemptOnce(progress.call, decided.value, progress);
      if (result.isOk()) {
        if (progress.recordAnswer(result.value)) return ok(result.value);
      } else if (!progress.recordFailure(result.error, decided.value.instance)) {
        return progress.conclude(result.error.refusal);
      } else if (!(await this.#waitForGuardVersion(progress.call, result.error.refusal))) {
        return progress.conclude(result.error.refusal);
      }
    }
  }

  #recordCall({ pool }: Call): RetryBudget {
    const budget = this.#retryBudgets.forPool(pool);
    budget.recordCall();
    return budget;
  }

  /** Re-resolves the call if a newer version has been applied here since the last attempt. */
  #refreshCall(progress: CallProgress): Result<void, Refusal> {
    const { call } = progress;
    return this.#options.router.refresh(call).andThen((refreshed) => {
      if (refreshed === call || progress.updateCall(refreshed, (each) => this.#recordCall(each))) {
        return ok(undefined);
      }
      const detail = 'the call may have run, and a newer version forbids to repeat it';
      return err(makeUnknownRefusal(RefusalReason.VersionsDiffer, detail));
    });
  }

  /** Waits for the version under which a guard refused; other targets' guards may have it too. */
  async #waitForGuardVersion(call: Call, { reason, version = 0 }: Refusal): Promise<boolean> {
    if (reason !== RefusalReason.VersionsDiffer || version <= call.version) return true;
    return this.#options.router.waitForVersion(version, call.deadline);
  }

  #attemptOnce(
    call: Call,
    decision: PlacementDecision,
    { excluded, acceptsDelay }: CallProgress,
  ): Promise<AttemptResult> {
    excluded.add(decision.instance.id);
    if (!call.route.hedge) return this.#attempt(call, decision, acceptsDelay);
    return this.#attemptHedged(call, decision, {
      excluded,
      hedgeBudget: this.#hedgeBudgets.forPool(call.pool),
    });
  }

  #decideTarget({ call, excluded, lostCount }: CallProgress): Result<PlacementDecision, Refusal> {
    const { quarantine } = this.#options;
    const refusal = this.#checkCall(call) ?? checkLostAttempts(quarantine, call, lostCount);
    return refusal ? err(refusal) : this.#chooseTarget(call, excluded);
  }

  #checkCall(call: Call): Refusal | undefined {
    if (call.signal.aborted)
      return makeNotRunRefusal(RefusalReason.Cancelled, 'the caller has left');
    if (call.deadline.hasPassed) {
      return makeNotRunRefusal(
        RefusalReason.DeadlinePassed,
        'the deadline passed before a target was found',
      );
    }
    return checkQuarantine(this.#options.quarantine, call);
  }

  #chooseTarget(call: Call, excluded: ReadonlySet<string>): Result<PlacementDecision, Refusal> {
    const { fleet, topology } = this.#options.getSnapshot();
    const chosen = this.#options.placement.choose(call.route, call.pool, {
      fleet,
      topology,
      excluded,
    });
    if (chosen.isOk()) this.#logDecision(call, chosen.value);
    return chosen;
  }

  #attemptHedged(
    call: Call,
    decision: PlacementDecision,
    context: HedgeContext,
  ): Promise<AttemptResult> {
    const { excluded, hedgeBudget } = context;
    hedgeBudget.recordCall();
    const acceptsDelay = false;
    if (!(call.body instanceof BufferedBody)) return this.#attempt(call, decision, acceptsDelay);
    return raceHedged(call, {
      timer: this.#options.timer,
      serviceMs: decision.candidate.view.serviceMs,
      sendFirst: (hedged) => this.#attempt(hedged, decision, acceptsDelay),
      prepareSecond: () => {
        const chosen = hedgeBudget.tryAcquire() ? this.#chooseTarget(call, excluded) : undefined;
        if (!chosen?.isOk()) return undefined;
        excluded.add(chosen.value.instance.id);
        return (hedged) => this.#attempt(hedged, chosen.value, acceptsDelay);
      },
    });
  }

  async #attempt(
    call: Call,
    decision: PlacementDecision,
    acceptsDelay: boolean,
  ): Promise<AttemptResult> {
    const opened = await this.#options.peers.open(decision.instance);
    if (opened.isErr()) {
      decision.candidate.view.beginAttempt()(ObservedOutcome.Lost);
      return err({ kind: FailureKind.NotSent, refusal: opened.error, load: undefined });
    }
    // While the connection was opened, the caller may have disconnected or the deadline passed.
    const refusal = this.#checkCall(call);
    if (refusal) return err({ kind: FailureKind.NotSent, refusal, load: undefined });
    const attempt = this.#makeAttempt(call, acceptsDelay);
    const result = await this.#sendAttempt({ decision, attempt, port: opened.value });
    if (result.isErr())
      this.#recordFailure(call, decision.instance, { attempt, failure: result.error });
    return result;
  }

  #makeAttempt(call: Call, acceptsDelay: boolean): Attempt {
    const { sender, sequence } = this.#options.attempts.next();
    return { sender, sequence, receiverRole: ReceiverRole.Guard, call, acceptsDelay };
  }

  async #sendAttempt({ decision, attempt, port }: OutgoingAttempt): Promise<AttemptResult> {
    const { view } = decision.candidate;
    const startMs = this.#options.timer.now();
    const finish = view.beginAttempt();
    const result = await this.#awaitAnswer(attempt, port);
    const load = result.isOk() ? result.value.load : result.error.load;
    if (load) view.recordLoad(load, this.#options.timer.now() - startMs);
    finish(classifyResult(attempt.call, result));
    const isLost = result.isErr() && result.error.kind === FailureKind.Lost;
    const { route, deadline } = attempt.call;
    if (!isLost || !runsAtMostOnce(route)) return result;
    const { timer, log, peers } = this.#options;
    const isKeyless = route.repeatability === Repeatability.Keyless;
    const timeoutMs = isKeyless ? Math.min(deadline.leftMs, KEYLESS_SETTLE_MS) : undefined;
    const { instance } = decision;
    return settleAttempt(attempt, { timer, log, peers, instance, port, timeoutMs });
  }

  /**
   * Waits for the result. An at-most-once attempt without a timely result counts as lost; other
   * attempts complete by their deadline.
   */
  #awaitAnswer(attempt: Attempt, port: PeerPort): Promise<AttemptResult> {
    const pending = port.send(attempt);
    const { route, deadline } = attempt.call;
    if (!runsAtMostOnce(route)) return pending;
    const isKeyless = route.repeatability === Repeatability.Keyless;
    const timeoutMs = deadline.leftMs + (isKeyless ? 0 : SILENCE_GRACE_MS);
    return awaitResult(pending, this.#options.timer, timeoutMs);
  }

  #recordFailure(
    call: Call,
    instance: Instance,
    { attempt, failure }: { attempt: Attempt; failure: AttemptFailure },
  ): void {
    const { kind, refusal } = failure;
    this.#options.log.write(Event.AttemptFailed, {
      call: call.id,
      attempt: attempt.sequence,
      instance: instance.id,
      kind,
      reason: refusal.reason,
      detail: refusal.detail,
      version: refusal.version,
      decidedAt: call.version,
    });
    this.#countDisagreement(call, refusal);
  }

  #countDisagreement(call: Call, { reason, version }: Refusal): void {
    if (reason !== RefusalReason.VersionsDiffer || version === undefined) return;
    this.#options.metrics.increment(Metric.VersionDisagreements, {
      entry: compareVersions(call.version, version),
    });
  }

  #logDecision(call: Call, decision: PlacementDecision): void {
    const { route } = call;
    const { view, proximity } = decision.candidate;
    this.#options.log.write(Event.Decision, {
      call: call.id,
      route: route.name,
      pool: call.pool,
      choice: decision.instance.id,
      reason: decision.reason,
      proximity,
      outstanding: view.outstanding,
      waitMs: roundToHundredths(view.expectedWaitMs),
      compared: decision.compared.map(describeCandidate).join(','),
      eligible: decision.eligible,
      loadAgeMs: view.loadAgeMs,
      leftMs: roundToHundredths(call.deadline.leftMs),
      version: call.version,
    });
  }
}

function describeCandidate(candidate: PlacementDecision['candidate']): string {
  return `${candidate.instance.id}:${roundToHundredths(estimateCostMs(candidate))}`;
}

function compareVersions(entryVersion: number, guardVersion: number): VersionOrder {
  if (entryVersion === guardVersion) return VersionOrder.Same;
  return entryVersion < guardVersion ? VersionOrder.Older : VersionOrder.Newer;
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

function classifyResult(call: Call, result: AttemptResult): ObservedOutcome {
  if (result.isOk()) {
    return result.value.status >= SERVER_ERROR_STATUS
      ? ObservedOutcome.Failed
      : ObservedOutcome.Answered;
  }
  if (call.signal.aborted) return ObservedOutcome.Cancelled;
  return isNotRun(result.error.kind) ? ObservedOutcome.Refused : ObservedOutcome.Lost;
}
