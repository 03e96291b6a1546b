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
import type { Quarantine } from '../guard/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import type { AttemptCounter } from './attempt_counter.ts';
import type { CallRouter } from './call_router.ts';
import { CallProgress } from './call_progress.ts';
import { raceHedged } from './hedge.ts';
import { PoolBudgets } from './pool_budgets.ts';
import type { PeerDirectory, PeerPort } from './peer_directory.ts';
import { settleAttempt, awaitResult } from './settle_attempt.ts';

const DEFAULT_RETRY_PERCENT = 10;
/** Time beyond its deadline after which a non-idempotent attempt counts as lost, in milliseconds. */
const SILENCE_GRACE_MS = 500;
/** Hedged attempts per hundred calls; apart from retries, which must not be starved by them. */
const HEDGE_PERCENT = 2;
const SERVER_ERROR_STATUS = 500;
/** Longest time spent on learning the end of a keyless call whose link broke, in milliseconds. */
const KEYLESS_SETTLE_MS = 1_000;

/** How the version that an entry decided by stands to that of the guard that disagreed. */
enum VersionOrder {
  Older = 'older',
  Same = 'same',
  Newer = 'newer',
}

/** The world as a daemon sees it at one moment. */
export interface ClusterSnapshot {
  fleet: Fleet;
  topology: Topology;
  configurationVersion: number;
  /**
   * @param name Name of a pool.
   * @returns Its rules.
   */
  findPool(name: string): Pool | undefined;
}

/** What a {@linkcode Dispatcher} needs. */
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
  /** @returns The world now. */
  getSnapshot: () => ClusterSnapshot;
  /**
   * @param fingerprint Fingerprint of a call that was in flight when a target crashed.
   * @param instance Instance of that target.
   */
  onCrash: (call: Call, fingerprint: string, instance: Instance) => void;
  /** @returns Further attempts of each pool that may be made in a burst. */
  getRetryBurst?: () => number;
}

interface Try {
  decision: PlacementDecision;
  attempt: Attempt;
  port: PeerPort;
}

/** The state of one call between its attempts. */
interface Turn {
  fingerprint: string | undefined;
  /** Names of instances that were tried. */
  excluded: Set<string>;
  hedges: RetryBudget;
}

/** Has calls executed: chooses a target, sends, and goes on to another while that is safe. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #budgets: PoolBudgets;
  readonly #hedges: PoolBudgets;

  /** @param options See {@linkcode DispatcherOptions}. */
  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#budgets = new PoolBudgets(
      (pool) => options.getSnapshot().findPool(pool)?.retryPercent ?? DEFAULT_RETRY_PERCENT,
      options.getRetryBurst,
    );
    this.#hedges = new PoolBudgets(() => HEDGE_PERCENT);
  }

  /**
   * Executes a call.
   *
   * @param call The call; its body must be readable once for each attempt.
   * @param fingerprint Fingerprint of the call, if its route asks for one.
   * @returns Its answer, or a refusal that says whether it may have run.
   */
  async dispatch(call: Call, fingerprint: string | undefined): Promise<Result<Answer, Refusal>> {
    const course = new CallProgress(call, this.#budgetOf(call));
    for (;;) {
      const renewed = this.#renew(course);
      if (renewed.isErr()) return course.conclude(renewed.error);
      const decided = this.#decide(course.call, fingerprint, course.excluded);
      if (decided.isErr()) {
        if (course.readmitSlowTargets()) continue;
        return course.conclude(decided.error);
      }
      const result = await this.#tryOnce(course.call, decided.value, { fingerprint, course });
      if (result.isOk()) {
        if (course.recordAnswer(result.value)) return ok(result.value);
      } else if (!course.recordFailure(result.error, decided.value.instance)) {
        return course.conclude(result.error.refusal);
      } else if (!(await this.#catchUp(course.call, result.error.refusal))) {
        return course.conclude(result.error.refusal);
      }
    }
  }

  #budgetOf({ pool }: Call): RetryBudget {
    const budget = this.#budgets.forPool(pool);
    budget.recordCall();
    return budget;
  }

  /** Newer rules may have come into force here since the last attempt. */
  #renew(course: CallProgress): Result<void, Refusal> {
    const { call } = course;
    return this.#options.router.refresh(call).andThen((renewed) => {
      if (renewed === call || course.updateCall(renewed, (each) => this.#budgetOf(each))) {
        return ok(undefined);
      }
      const detail = 'the call may have run, and a newer version forbids to repeat it';
      return err(makeUnknownRefusal(RefusalReason.VersionsDiffer, detail));
    });
  }

  /** Every guard may have the newer version that one has refused by, so it is needed here first. */
  async #catchUp(call: Call, { reason, version = 0 }: Refusal): Promise<boolean> {
    if (reason !== RefusalReason.VersionsDiffer || version <= call.version) return true;
    return this.#options.router.waitForVersion(version, call.deadline);
  }

  #tryOnce(
    call: Call,
    decision: PlacementDecision,
    { fingerprint, course }: { fingerprint: string | undefined; course: CallProgress },
  ): Promise<AttemptResult> {
    const { excluded } = course;
    excluded.add(decision.instance.id);
    const { acceptsSlowTarget: insists } = course;
    if (!call.route.hedge)
      return this.#try(call, decision, { fingerprint, acceptsSlowTarget: insists });
    return this.#tryHedged(call, decision, {
      fingerprint,
      excluded,
      hedges: this.#hedges.forPool(call.pool),
    });
  }

  #decide(
    call: Call,
    fingerprint: string | undefined,
    excluded: ReadonlySet<string>,
  ): Result<PlacementDecision, Refusal> {
    const stop = this.#reasonToStop(call, fingerprint);
    return stop ? err(stop) : this.#choose(call, excluded);
  }

  #reasonToStop(call: Call, fingerprint: string | undefined): Refusal | undefined {
    if (call.signal.aborted)
      return makeNotRunRefusal(RefusalReason.Cancelled, 'the caller has left');
    if (call.deadline.hasPassed) {
      return makeNotRunRefusal(
        RefusalReason.DeadlinePassed,
        'the deadline passed before a target was found',
      );
    }
    if (fingerprint !== undefined && this.#options.quarantine.isBlocked(fingerprint)) {
      return makeNotRunRefusal(
        RefusalReason.Quarantined,
        'calls like this one coincided with target crashes',
      );
    }
    return undefined;
  }

  #choose(call: Call, excluded: ReadonlySet<string>): Result<PlacementDecision, Refusal> {
    const { fleet, topology: geography } = this.#options.getSnapshot();
    const chosen = this.#options.placement.choose(call.route, call.pool, {
      fleet,
      topology: geography,
      excluded,
    });
    if (chosen.isOk()) this.#logDecision(call, chosen.value);
    return chosen;
  }

  #tryHedged(call: Call, decision: PlacementDecision, turn: Turn): Promise<AttemptResult> {
    const { fingerprint, excluded, hedges } = turn;
    hedges.recordCall();
    const sent = { fingerprint, acceptsSlowTarget: false };
    if (!(call.body instanceof BufferedBody)) return this.#try(call, decision, sent);
    return raceHedged(call, {
      timer: this.#options.timer,
      serviceMs: decision.candidate.view.serviceMs,
      sendFirst: (copy) => this.#try(copy, decision, sent),
      prepareSecond: () => {
        const chosen = hedges.tryAcquire() ? this.#choose(call, excluded) : undefined;
        if (!chosen?.isOk()) return undefined;
        excluded.add(chosen.value.instance.id);
        return (copy) => this.#try(copy, chosen.value, sent);
      },
    });
  }

  async #try(
    call: Call,
    decision: PlacementDecision,
    sent: Pick<Attempt, 'fingerprint' | 'acceptsSlowTarget'>,
  ): Promise<AttemptResult> {
    const opened = await this.#options.peers.open(decision.instance);
    if (opened.isErr()) {
      decision.candidate.view.beginAttempt()(ObservedOutcome.Lost);
      return err({ kind: FailureKind.NotSent, refusal: opened.error, load: undefined });
    }
    // Dialing takes a while; the caller may have left, or the deadline passed, meanwhile.
    const stop = this.#reasonToStop(call, sent.fingerprint);
    if (stop) return err({ kind: FailureKind.NotSent, refusal: stop, load: undefined });
    const attempt = this.#makeAttempt(call, sent);
    const ended = await this.#send({ decision, attempt, port: opened.value });
    if (ended.isErr())
      this.#recordFailure(call, decision.instance, { attempt, failure: ended.error });
    return ended;
  }

  #makeAttempt(call: Call, sent: Pick<Attempt, 'fingerprint' | 'acceptsSlowTarget'>): Attempt {
    const { sender, sequence } = this.#options.attempts.next();
    return { sender, sequence, receiverRole: ReceiverRole.Guard, call, ...sent };
  }

  async #send({ decision, attempt, port }: Try): Promise<AttemptResult> {
    const { view } = decision.candidate;
    const startMs = this.#options.timer.now();
    const finish = view.beginAttempt();
    const result = await this.#answerOf(attempt, port);
    const load = result.isOk() ? result.value.load : result.error.load;
    if (load) view.recordLoad(load, this.#options.timer.now() - startMs);
    finish(signOf(attempt.call, result));
    const isLost = result.isErr() && result.error.kind === FailureKind.Lost;
    const { route, deadline } = attempt.call;
    if (!isLost || !runsAtMostOnce(route)) return result;
    const { timer, log, peers } = this.#options;
    const isKeyless = route.repeatability === Repeatability.Keyless;
    const timeoutMs = isKeyless ? Math.min(deadline.leftMs, KEYLESS_SETTLE_MS) : undefined;
    const { instance } = decision;
    return settleAttempt(attempt, { timer, log, peers, instance, port, timeoutMs });
  }

  /** An attempt that runs at most once counts as lost without an answer in time; others end by their deadline. */
  #answerOf(attempt: Attempt, port: PeerPort): Promise<AttemptResult> {
    const sent = port.send(attempt);
    const { route, deadline } = attempt.call;
    if (!runsAtMostOnce(route)) return sent;
    const isKeyless = route.repeatability === Repeatability.Keyless;
    const timeoutMs = deadline.leftMs + (isKeyless ? 0 : SILENCE_GRACE_MS);
    return awaitResult(sent, this.#options.timer, timeoutMs);
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
    const isCrash =
      kind !== FailureKind.Refused && !call.signal.aborted && !call.deadline.hasPassed;
    if (!isCrash || attempt.fingerprint === undefined) return;
    this.#options.onCrash(call, attempt.fingerprint, instance);
  }

  #countDisagreement(call: Call, { reason, version }: Refusal): void {
    if (reason !== RefusalReason.VersionsDiffer || version === undefined) return;
    this.#options.metrics.increment(Metric.VersionDisagreements, {
      entry: orderOf(call.version, version),
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
      waitMs: round(view.expectedWaitMs),
      compared: decision.compared.map(describeCandidate).join(','),
      eligible: decision.eligible,
      loadAgeMs: view.loadAgeMs,
      leftMs: round(call.deadline.leftMs),
      version: call.version,
    });
  }
}

function describeCandidate(candidate: PlacementDecision['candidate']): string {
  return `${candidate.instance.id}:${round(estimateCostMs(candidate))}`;
}

function orderOf(entryVersion: number, guardVersion: number): VersionOrder {
  if (entryVersion === guardVersion) return VersionOrder.Same;
  return entryVersion < guardVersion ? VersionOrder.Older : VersionOrder.Newer;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function signOf(call: Call, result: AttemptResult): ObservedOutcome {
  if (result.isOk()) {
    return result.value.status >= SERVER_ERROR_STATUS
      ? ObservedOutcome.Failed
      : ObservedOutcome.Answered;
  }
  if (call.signal.aborted) return ObservedOutcome.Abandoned;
  return isNotRun(result.error.kind) ? ObservedOutcome.Refused : ObservedOutcome.Lost;
}
