import { err, ok, type Result } from 'neverthrow';
import {
  BodyEnd,
  CollectFailure,
  FailureKind,
  RefusalReason,
  Repeatability,
  TargetStage,
  cancelBody,
  collectBody,
  makeNotRunRefusal,
  runsAtMostOnce,
  makeUnknownRefusal,
  watchBody,
  type Answer,
  type Attempt,
  type AttemptFailure,
  type AttemptId,
  type AttemptPort,
  type AttemptResult,
  type Call,
  type Deadline,
  type LoadState,
  type Pool,
  type Refusal,
} from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { Subscription, TimerService } from '../timer/mod.ts';
import { AttemptLedger } from './attempt_ledger.ts';
import { makeLimit, type ConcurrencyLimit, type LimitKind } from './concurrency_limit.ts';
import { AdmissionQueue, type AdmissionBounds } from './admission_queue.ts';
import { Quarantine } from './quarantine.ts';
import { ServiceTimeAverage } from './service_time_average.ts';
import { TargetHealth } from './target_health.ts';
import { SlowdownTracker } from './slowdown_tracker.ts';
import {
  TargetFailureKind,
  type TargetAnswer,
  type TargetFailure,
  type TargetPort,
} from './target_port.ts';
import { TargetProber } from './target_prober.ts';
import { WarmUp } from './warm_up.ts';

/** Largest answer of a non-idempotent call, in bytes. */
const KEPT_ANSWER_LIMIT_BYTES = 1_048_576;
/** Time beyond its deadline for which a non-idempotent call may run, in milliseconds. */
const NON_IDEMPOTENT_GRACE_MS = 30_000;
/** Server errors begin at this status. */
const SERVER_ERROR_STATUS = 500;
/** Time beyond its deadline after which a keyless call is ended, in milliseconds. */
const KEYLESS_GRACE_MS = 250;

/** When an attempt is looked at. */
export enum AdmissionPhase {
  Arriving = 'arriving',
  /** It was accepted, has waited, and is about to run. */
  Starting = 'starting',
}

/** Bounds one execution until its answer has been taken as a whole. */
interface ExecutionLimit {
  /** Aborted when the execution is no longer wanted. */
  signal: AbortSignal;
  /** Aborts the signal once the time is up. */
  expiry: Subscription;
}

/** What a {@linkcode Guard} needs. */
export interface GuardOptions {
  /** Name of the instance whose target is guarded. */
  instanceId: string;
  timer: TimerService;
  log: EventLog;
  port: TargetPort;
  limitKind: LimitKind;
  quarantine: Quarantine;
  /** Time between two probes of the target; only one that is down is probed if absent. */
  probePeriodMs: number | undefined;
  /** @returns Calls that the target runs at once, if the instance list tells it. */
  getSlots: () => number | undefined;
  /** @returns The rules in force for the target's pool, if the configuration has them. */
  getPool: () => Pool | undefined;
  /** @returns Version of the configuration in force. */
  getVersion: () => number;
  /**
   * @param attempt An attempt.
   * @param phase When it is looked at.
   * @returns Why this daemon may not execute it, if so.
   */
  checkAdmission: (attempt: Attempt, phase: AdmissionPhase) => Refusal | undefined;
}

/**
 * Stands before one target. All work for the target passes it, so it knows
 * without delay what the target runs; it admits, queues briefly or refuses.
 */
export class Guard implements AttemptPort {
  readonly #options: GuardOptions;
  readonly #timer: TimerService;
  readonly #gate: AdmissionQueue;
  readonly #ledger: AttemptLedger;
  readonly #clock = new ServiceTimeAverage();
  readonly #health: TargetHealth;
  readonly #warmUp: WarmUp;
  #limit: ConcurrencyLimit;
  readonly #prober: TargetProber;
  #slots: number;
  #overload = 0;
  readonly #pace: SlowdownTracker;

  /** @param options See {@linkcode GuardOptions}. */
  constructor(options: GuardOptions) {
    this.#options = options;
    this.#timer = options.timer;
    this.#slots = this.#slotsInForce();
    this.#limit = makeLimit(options.limitKind, this.#slots);
    this.#warmUp = new WarmUp(options.timer, () => ({
      coldSlots: options.getPool()?.coldSlots ?? 1,
      coldMs: options.getPool()?.coldMs ?? 0,
      coldPerSecond: options.getPool()?.coldPerSecond,
    }));
    this.#health = new TargetHealth(options.log, this.#warmUp);
    this.#pace = new SlowdownTracker(options.timer);
    this.#gate = new AdmissionQueue(options.timer, () => this.#bounds());
    this.#ledger = new AttemptLedger(options.timer);
    this.#prober = new TargetProber({
      timer: options.timer,
      port: options.port,
      health: this.#health,
      slowdown: this.#pace,
      periodMs: options.probePeriodMs,
      getPath: () => options.getPool()?.healthPath,
      isUrgent: () => this.#health.stageAt(this.#limit.current) !== TargetStage.Warm,
      onCheck: () => {
        this.#gate.admitQueued();
      },
    });
  }

  /** @returns The target's load at this moment. */
  get load(): LoadState {
    return {
      inFlight: this.#gate.inFlight,
      limit: this.#currentLimit(),
      queued: this.#gate.queued,
      serviceMs: this.#clock.meanMs,
      stage: this.#health.stageAt(this.#limit.current),
    };
  }

  /** @returns Whether nothing runs or waits. */
  get isIdle(): boolean {
    return this.#gate.inFlight === 0 && this.#gate.queued === 0;
  }

  /** @returns Executions above the limit, which is always zero unless the limit fell meanwhile. */
  get overLimitCount(): number {
    return this.#overload;
  }

  async send(attempt: Attempt): Promise<AttemptResult> {
    if (runsAtMostOnce(attempt.call.route)) return this.#runOnce(attempt);
    const objection = this.#objectionTo(attempt, AdmissionPhase.Arriving);
    return objection ? this.#refuse(attempt, objection) : this.#admit(attempt);
  }

  settle(id: AttemptId, deadline: Deadline): Promise<AttemptResult> {
    return this.#ledger.settle(id, deadline);
  }

  /**
   * Refuses everything that waits, as when the daemon leaves or its failure
   * domain was taken out. Calls that run are finished.
   *
   * @param refusal The refusal to give.
   */
  refuseQueued(refusal: Refusal): void {
    this.#gate.refuseQueued(refusal);
  }

  /** Takes a changed configuration of the pool into account. */
  updateSlots(): void {
    const slots = this.#slotsInForce();
    if (slots === this.#slots) return;
    this.#slots = slots;
    this.#limit = makeLimit(this.#options.limitKind, slots);
    this.#gate.admitQueued();
  }

  /** Stops probing. */
  close(): void {
    this.#prober.close();
  }

  /** Treats the target as just started, as after its failure domain was put back into service. */
  resetWarmUp(): void {
    this.#warmUp.restart();
  }

  #objectionTo(attempt: Attempt, phase: AdmissionPhase): Refusal | undefined {
    const { call, fingerprint } = attempt;
    if (call.signal.aborted) {
      return makeNotRunRefusal(
        RefusalReason.Cancelled,
        'the caller left before the target was reached',
      );
    }
    if (call.deadline.hasPassed) {
      return makeNotRunRefusal(
        RefusalReason.DeadlinePassed,
        'the deadline passed before the target was reached',
      );
    }
    if (fingerprint !== undefined && this.#options.quarantine.isBlocked(fingerprint)) {
      return makeNotRunRefusal(
        RefusalReason.Quarantined,
        'calls like this one coincided with target crashes',
      );
    }
    if (this.#health.isDown)
      return makeNotRunRefusal(RefusalReason.TargetDown, 'the target is not listening');
    return this.#options.checkAdmission(attempt, phase);
  }

  async #runOnce(attempt: Attempt): Promise<AttemptResult> {
    const id = { sender: attempt.sender, sequence: attempt.sequence };
    const accepted = this.#ledger.accept(id);
    if (accepted.isErr()) return err({ ...accepted.error, load: this.load });
    // A refused attempt is in the ledger too, so that a late copy of it never runs.
    const objection = this.#objectionTo(attempt, AdmissionPhase.Arriving);
    const result = objection
      ? this.#refuse(attempt, objection)
      : await this.#keepWhole(await this.#admit(attempt, id));
    this.#ledger.complete(id, result);
    return result;
  }

  async #keepWhole(result: AttemptResult): Promise<AttemptResult> {
    if (result.isErr()) return result;
    const whole = await collectBody(result.value.body, KEPT_ANSWER_LIMIT_BYTES);
    if (whole.isOk()) return ok({ ...result.value, body: whole.value });
    const reason =
      whole.error === CollectFailure.TooLarge
        ? RefusalReason.AnswerTooLarge
        : RefusalReason.AnswerLost;
    return this.#fail(
      FailureKind.Unknown,
      makeUnknownRefusal(reason, 'the target ran the call, its answer was not kept'),
    );
  }

  async #admit(attempt: Attempt, id?: AttemptId): Promise<AttemptResult> {
    const { route, deadline, signal } = attempt.call;
    const entered = await this.#gate.acquire({ weight: route.weight, deadline, signal });
    if (entered.isErr()) return this.#refuse(attempt, entered.error);
    await this.#prober.refreshSlowdown();
    const objection =
      this.#objectionTo(attempt, AdmissionPhase.Starting) ??
      this.#objectionToPace(attempt) ??
      this.#fenceOf(id);
    if (objection) {
      this.#gate.release();
      return this.#refuse(attempt, objection);
    }
    return this.#execute(attempt);
  }

  #objectionToPace({ call, acceptsSlowTarget: insists }: Attempt): Refusal | undefined {
    if (insists || !this.#pace.isTooSlowFor(call.route.name, call.objective.leftMs))
      return undefined;
    const detail = `work takes ${this.#pace.slowdown} times as long as usual at the target`;
    return makeNotRunRefusal(RefusalReason.TargetSlow, detail);
  }

  #fenceOf(id: AttemptId | undefined): Refusal | undefined {
    if (!id || this.#ledger.start(id)) return undefined;
    return makeNotRunRefusal(RefusalReason.Fenced, 'the attempt was fenced while it waited');
  }

  async #execute(attempt: Attempt): Promise<AttemptResult> {
    const startMs = this.#timer.now();
    const inFlight = this.#gate.inFlight;
    const isUsualPace = this.#pace.slowdown <= 1;
    if (inFlight > this.#currentLimit()) this.#overload += 1;
    const limit = this.#executionLimit(attempt.call);
    const result = await this.#runTarget(attempt, limit.signal);
    const elapsedMs = this.#timer.now() - startMs;
    this.#recordEnd(attempt, result, { elapsedMs, inFlight });
    if (isUsualPace && result.isOk() && !result.value.shed) {
      this.#pace.recordExecution(attempt.call.route.name, elapsedMs);
    }
    if (result.isErr()) {
      limit.expiry.cancel();
      this.#gate.release();
      return this.#failureOf(result.error);
    }
    if (result.value.shed) {
      limit.expiry.cancel();
      await cancelBody(result.value.body);
      this.#gate.release();
      return this.#fail(
        FailureKind.Refused,
        makeNotRunRefusal(RefusalReason.TargetShed, 'the target shed the call'),
      );
    }
    return ok(this.#releaseAfter(result.value, limit));
  }

  #runTarget({ call }: Attempt, signal: AbortSignal): Promise<Result<TargetAnswer, TargetFailure>> {
    const { id: callId, callerPool, method, pathAndQuery: target, headers, body } = call;
    const { leftMs } = call.deadline;
    const { targetId } = this.#health;
    return this.#options.port.run({
      callId,
      callerPool,
      targetId,
      method,
      pathAndQuery: target,
      headers,
      body,
      leftMs,
      signal,
    });
  }

  /** A non-idempotent call goes on when nobody waits, so that its answer can be kept. */
  #executionLimit(call: Call): ExecutionLimit {
    const { leftMs } = call.deadline;
    if (call.route.repeatability === Repeatability.Idempotent) {
      return { signal: call.signal, expiry: this.#timer.after(leftMs, call.cancel) };
    }
    const controller = new AbortController();
    const isKeyless = call.route.repeatability === Repeatability.Keyless;
    const graceMs = isKeyless ? KEYLESS_GRACE_MS : NON_IDEMPOTENT_GRACE_MS;
    const expiry = this.#timer.after(leftMs + graceMs, () => {
      controller.abort();
    });
    return { signal: controller.signal, expiry };
  }

  #recordEnd(
    attempt: Attempt,
    result: Result<TargetAnswer, TargetFailure>,
    { elapsedMs, inFlight }: { elapsedMs: number; inFlight: number },
  ): void {
    if (result.isErr()) {
      this.#recordFailure(attempt, result.error);
      return;
    }
    if (attempt.fingerprint !== undefined)
      this.#options.quarantine.recordAnswer(attempt.fingerprint);
    const succeeded = result.value.status < SERVER_ERROR_STATUS;
    const { targetId, shed, reported } = result.value;
    this.#pace.recordReport(reported);
    this.#health.recordAnswer(targetId);
    if (shed) return;
    this.#clock.record(elapsedMs);
    this.#limit.record({ elapsedMs, inFlight, succeeded });
    const inTime = succeeded && !attempt.call.deadline.hasPassed;
    this.#warmUp.recordAnswer(inTime, this.#limit.current);
  }

  #recordFailure(attempt: Attempt, failure: TargetFailure): void {
    switch (failure.kind) {
      case TargetFailureKind.NotSent:
        this.#health.recordConnectionRefused();
        break;
      case TargetFailureKind.ConnectionLost:
        this.#suspect(attempt);
        this.#health.recordConnectionLost();
        break;
      case TargetFailureKind.MalformedAnswer:
      case TargetFailureKind.RequestTruncated:
        break;
      case TargetFailureKind.Cancelled:
        // A caller that left says nothing about the target.
        if (attempt.call.deadline.hasPassed) this.#warmUp.recordAnswer(false, this.#limit.current);
        break;
    }
  }

  #suspect({ fingerprint }: Attempt): void {
    if (fingerprint === undefined) return;
    this.#options.quarantine.recordCrash(fingerprint, this.#options.instanceId);
  }

  #failureOf(failure: TargetFailure): AttemptResult {
    if (failure.kind === TargetFailureKind.NotSent) {
      return this.#fail(
        FailureKind.Refused,
        makeNotRunRefusal(RefusalReason.TargetDown, failure.detail),
      );
    }
    const isCut = failure.kind === TargetFailureKind.RequestTruncated;
    const reason = isCut ? RefusalReason.BodyCut : RefusalReason.AnswerLost;
    return this.#fail(FailureKind.Unknown, makeUnknownRefusal(reason, failure.detail));
  }

  /** The slot is free at the end of the body, or once the target's connection is given up. */
  #releaseAfter(answer: TargetAnswer, { signal, expiry }: ExecutionLimit): Answer {
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      expiry.cancel();
      signal.removeEventListener('abort', release);
      this.#gate.release();
    };
    signal.addEventListener('abort', release);
    if (signal.aborted) release();
    const body = watchBody(answer.body, (end) => {
      release();
      if (end === BodyEnd.Truncated && !signal.aborted) this.#health.recordConnectionLost();
    });
    const { status, headers } = answer;
    return { status, headers, body, load: this.load };
  }

  #refuse({ sequence, call }: Attempt, refusal: Refusal): AttemptResult {
    const { inFlight, limit, queued, stage } = this.load;
    this.#options.log.write(Event.AttemptRefused, {
      call: call.id,
      attempt: sequence,
      reason: refusal.reason,
      version: this.#options.getVersion(),
      decidedAt: call.version,
      inFlight,
      limit,
      queued,
      stage,
      slowdown: this.#pace.slowdown,
      paceAgeMs: Math.round(this.#pace.reportAgeMs),
      leftMs: Math.round(call.deadline.leftMs),
    });
    return this.#fail(FailureKind.Refused, refusal);
  }

  #fail(kind: FailureKind, refusal: Refusal): AttemptResult {
    const version = this.#options.getVersion();
    const failure: AttemptFailure = { kind, refusal: { ...refusal, version }, load: this.load };
    return err(failure);
  }

  #currentLimit(): number {
    return this.#warmUp.currentLimit(this.#limit.current, this.#gate.inFlight);
  }

  #bounds(): AdmissionBounds {
    const pool = this.#options.getPool();
    return {
      limit: this.#currentLimit(),
      queueLength: pool?.queueLength ?? 0,
      queueWaitMs: pool?.queueWaitMs ?? 0,
      serviceMs: this.#clock.meanMs,
      onAdmit: () => {
        this.#warmUp.recordAdmission();
      },
    };
  }

  #slotsInForce(): number {
    return this.#options.getSlots() ?? this.#options.getPool()?.slots ?? 1;
  }
}

/** Stage of a target whose daemon accepts no work. */
export const LEAVING_LOAD: LoadState = {
  inFlight: 0,
  limit: 0,
  queued: 0,
  serviceMs: 0,
  stage: TargetStage.Leaving,
};
