import { err, ok, type Result } from 'neverthrow';
import {
  BodyEnd,
  BufferedBody,
  CollectFailure,
  FailureKind,
  RefusalReason,
  RecordedBody,
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
  type TargetNotice,
} from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { Subscription, TimerService } from '../timer/mod.ts';
import { AttemptLedger } from './attempt_ledger.ts';
import { CrashDetector } from './crash_detector.ts';
import { makeLimit, type ConcurrencyLimit, type LimitKind } from './concurrency_limit.ts';
import { AdmissionQueue, type AdmissionLimits } from './admission_queue.ts';
import { NoticeSource, NoticeTracker } from './notice_tracker.ts';
import { checkQuarantine, type Quarantine } from './quarantine.ts';
import { RateLimit } from './rate_limit.ts';
import { ServiceTimeAverage } from './service_time_average.ts';
import { TargetHealth } from './target_health.ts';
import { TargetIdentity, isOfTarget } from './target_identity.ts';
import { SlowdownTracker } from './slowdown_tracker.ts';
import {
  TargetFailureKind,
  type TargetAnswer,
  type TargetFailure,
  type TargetPort,
} from './target_port.ts';
import { TargetProber } from './target_prober.ts';
import { WarmUp } from './warm_up.ts';

/** Largest answer of a non-idempotent call that is buffered, in bytes. */
const KEPT_ANSWER_LIMIT_BYTES = 1_048_576;
/** Time for which a non-idempotent call may run past its deadline, in milliseconds. */
const NON_IDEMPOTENT_GRACE_MS = 30_000;
/** Lowest status code of a server error. */
const SERVER_ERROR_STATUS = 500;
/** Time past its deadline after which a keyless call is cancelled, in milliseconds. */
const KEYLESS_GRACE_MS = 250;

/** Point at which an attempt is checked. */
export enum AdmissionPhase {
  Arriving = 'arriving',
  /** The attempt was admitted and is about to run. */
  Starting = 'starting',
}

/** Time limit of one execution, up to the end of its answer's body. */
interface ExecutionLimit {
  /** Aborted when the execution is cancelled. */
  signal: AbortSignal;
  /** Aborts the signal when the time limit expires. */
  expiry: Subscription;
}

/** Options of {@linkcode Guard}. */
export interface GuardOptions {
  timer: TimerService;
  log: EventLog;
  port: TargetPort;
  limitKind: LimitKind;
  quarantine: Quarantine;
  /**
   * Called once for each crash of the target.
   *
   * @param fingerprints Fingerprints of the calls that were running.
   */
  onCrash: (fingerprints: readonly string[]) => void;
  /**
   * Called when the target has answered a call that is suspected to crash targets, unless that was
   * reported lately.
   *
   * @param fingerprint Fingerprint of the call.
   */
  onSuspectAnswered: (fingerprint: string) => void;
  /**
   * Period between probes of the target, in milliseconds. If absent, only a
   * target that gets no calls is probed.
   */
  probePeriodMs: number | undefined;
  /**
   * Shortest time from the end of a target until another one may get its address, in milliseconds;
   * infinite if addresses are not reused.
   */
  addressReuseMs: number;
  /** @returns ID of the target's process according to the instance list, if it is listed with one. */
  getListedId: () => string | undefined;
  /** @returns Calls that the target may run concurrently, if the instance list states it. */
  getSlots: () => number | undefined;
  /** @returns Configuration in force of the target's pool, if there is one. */
  getPool: () => Pool | undefined;
  /** @returns Version of the configuration in force. */
  getVersion: () => number;
  /**
   * Checks whether this daemon may execute an attempt.
   *
   * @param attempt The attempt.
   * @param phase Point at which it is checked.
   * @returns The refusal, if this daemon may not execute it.
   */
  checkAdmission: (attempt: Attempt, phase: AdmissionPhase) => Refusal | undefined;
}

/**
 * Controls the admission of attempts to one target. All calls to the target
 * pass through its guard, so the guard always knows what the target runs. It
 * admits an attempt, queues it for a short time or refuses it.
 */
export class Guard implements AttemptPort {
  readonly #options: GuardOptions;
  readonly #timer: TimerService;
  readonly #queue: AdmissionQueue;
  readonly #ledger: AttemptLedger;
  readonly #serviceTime = new ServiceTimeAverage();
  readonly #identity: TargetIdentity;
  readonly #health: TargetHealth;
  readonly #warmUp: WarmUp;
  #limit: ConcurrencyLimit;
  readonly #prober: TargetProber;
  #slots: number;
  #overLimitCount = 0;
  readonly #slowdownTracker: SlowdownTracker;
  readonly #notices: NoticeTracker;
  readonly #rateLimit: RateLimit;
  readonly #crashDetector: CrashDetector;

  /** @param options See {@linkcode GuardOptions}. */
  constructor(options: GuardOptions) {
    this.#options = options;
    this.#timer = options.timer;
    this.#slots = this.#readSlots();
    this.#limit = makeLimit(options.limitKind, this.#slots);
    this.#warmUp = new WarmUp(options.timer, () => ({
      coldSlots: options.getPool()?.coldSlots ?? 1,
      coldMs: options.getPool()?.coldMs ?? 0,
      coldPerSecond: options.getPool()?.coldPerSecond,
    }));
    this.#identity = new TargetIdentity(options);
    this.#health = new TargetHealth({
      log: options.log,
      warmUp: this.#warmUp,
      identity: this.#identity,
      onNewProcess: () => {
        this.#notices.recordRestart();
      },
    });
    this.#notices = new NoticeTracker({
      timer: options.timer,
      log: options.log,
      getTargetId: () => this.#identity.targetId,
      onChange: () => {
        this.#applyNotice();
      },
    });
    this.#rateLimit = new RateLimit(options.timer);
    this.#crashDetector = new CrashDetector({
      timer: options.timer,
      log: options.log,
      port: options.port,
      getPath: () => options.getPool()?.healthPath,
      getTargetId: () => this.#identity.targetId,
      onCrash: options.onCrash,
    });
    this.#slowdownTracker = new SlowdownTracker(options.timer);
    this.#queue = new AdmissionQueue(options.timer, () => this.#readAdmissionLimits());
    this.#ledger = new AttemptLedger(options.timer);
    this.#prober = new TargetProber({
      timer: options.timer,
      port: options.port,
      health: this.#health,
      slowdown: this.#slowdownTracker,
      notices: this.#notices,
      periodMs: options.probePeriodMs,
      getPath: () => options.getPool()?.healthPath,
      isBlocked: () => this.#isBlocked,
      isUrgent: () => this.#isProbeUrgent,
      onCheck: () => {
        this.#queue.admitQueued();
      },
    });
  }

  /** @returns Current load of the target. */
  get load(): LoadState {
    const { notice } = this.#notices;
    return {
      inFlight: this.#queue.inFlight,
      limit: this.#readLimit(),
      queued: this.#queue.queued,
      serviceMs: this.#serviceTime.meanMs,
      stage:
        notice?.isLeaving === true
          ? TargetStage.Leaving
          : this.#health.getStage(this.#limit.current),
      ...(notice && { notice }),
      ...(this.#rateLimit.isActive && { startDelayMs: this.#startDelayMs }),
    };
  }

  /** @returns Whether no attempt runs or is queued. */
  get isIdle(): boolean {
    return this.#queue.inFlight === 0 && this.#queue.queued === 0;
  }

  /**
   * @returns Number of executions that started above the limit; zero unless
   * the limit fell between admission and start.
   */
  get overLimitCount(): number {
    return this.#overLimitCount;
  }

  async send(attempt: Attempt): Promise<AttemptResult> {
    if (runsAtMostOnce(attempt.call.route)) return this.#sendAtMostOnce(attempt);
    const refusal = this.#checkAttempt(attempt, AdmissionPhase.Arriving);
    return refusal ? this.#refuse(attempt, refusal) : this.#admit(attempt);
  }

  settle(id: AttemptId, deadline: Deadline): Promise<AttemptResult> {
    return this.#ledger.settle(id, deadline);
  }

  /**
   * Refuses all queued attempts, for example when the daemon drains or its
   * failure domain is taken out of service. Running attempts complete.
   *
   * @param refusal The refusal that each of them gets.
   */
  refuseQueued(refusal: Refusal): void {
    this.#queue.refuseQueued(refusal);
  }

  /**
   * Records a notice of the target that a peer has received. A guard that has restarted knows
   * nothing of it until the target answers.
   *
   * @param notice The notice.
   */
  recordPeerNotice(notice: TargetNotice): void {
    this.#notices.recordPeerNotice(notice);
  }

  /** Applies an instance list: identifies the target's process, and adopts its number of slots. */
  applyListing(): void {
    this.#health.applyListing();
    const slots = this.#readSlots();
    if (slots === this.#slots) return;
    this.#slots = slots;
    this.#limit = makeLimit(this.#options.limitKind, slots);
    this.#queue.admitQueued();
  }

  /** Stops probing. */
  close(): void {
    this.#prober.close();
  }

  /** Records that the machine may have been suspended, while the clock stood still. */
  recordSuspension(): void {
    this.#identity.recordSuspension();
  }

  /** Treats the target as cold, for example after its failure domain is put back into service. */
  resetWarmUp(): void {
    this.#warmUp.restart();
  }

  #checkAttempt(attempt: Attempt, phase: AdmissionPhase): Refusal | undefined {
    const { call } = attempt;
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
    const quarantined = checkQuarantine(this.#options.quarantine, call);
    if (quarantined) return quarantined;
    if (this.#notices.notice?.isLeaving === true) return makeTargetLeavingRefusal();
    const { problem } = this.#health;
    if (problem !== undefined) return makeNotRunRefusal(RefusalReason.TargetDown, problem);
    return this.#options.checkAdmission(attempt, phase);
  }

  async #sendAtMostOnce(attempt: Attempt): Promise<AttemptResult> {
    const id = { sender: attempt.sender, sequence: attempt.sequence };
    const accepted = this.#ledger.accept(id);
    if (accepted.isErr()) return err({ ...accepted.error, load: this.load });
    // A refused attempt is recorded too, so that a duplicate that arrives later never runs.
    const refusal = this.#checkAttempt(attempt, AdmissionPhase.Arriving);
    const result = refusal
      ? this.#refuse(attempt, refusal)
      : await this.#bufferAnswer(await this.#admit(attempt, id));
    this.#ledger.complete(id, result);
    return result;
  }

  async #bufferAnswer(result: AttemptResult): Promise<AttemptResult> {
    if (result.isErr()) return result;
    const buffered = await collectBody(result.value.body, KEPT_ANSWER_LIMIT_BYTES);
    if (buffered.isOk()) return ok({ ...result.value, body: buffered.value });
    const reason =
      buffered.error === CollectFailure.TooLarge
        ? RefusalReason.AnswerTooLarge
        : RefusalReason.AnswerLost;
    return this.#fail(
      FailureKind.Unknown,
      makeUnknownRefusal(reason, 'the target ran the call, its answer was not kept'),
    );
  }

  async #admit(attempt: Attempt, id?: AttemptId): Promise<AttemptResult> {
    const { route, deadline, signal } = attempt.call;
    const { weight } = route;
    const { acceptsDelay } = attempt;
    const acquired = await this.#queue.acquire({ weight, deadline, signal, acceptsDelay });
    if (acquired.isErr()) return this.#refuse(attempt, acquired.error);
    await this.#prober.refreshSlowdown();
    const refusal =
      this.#checkAttempt(attempt, AdmissionPhase.Starting) ??
      this.#checkSlowdown(attempt) ??
      this.#startUnlessFenced(id);
    if (refusal) {
      this.#releaseUnused();
      return this.#refuse(attempt, refusal);
    }
    return this.#execute(attempt);
  }

  /** Releases a slot whose call was not sent to the target. */
  #releaseUnused(): void {
    this.#rateLimit.undoStart();
    this.#queue.release();
  }

  /** Another target's process is not probed more often than its own guard probes it. */
  get #isProbeUrgent(): boolean {
    const isOther = this.#identity.unidentifiedId !== undefined;
    return !isOther && this.#health.getStage(this.#limit.current) !== TargetStage.Warm;
  }

  get #isBlocked(): boolean {
    const { notice } = this.#notices;
    return this.#health.isDown || notice?.isLeaving === true || notice?.maxCallsPerSecond === 0;
  }

  #applyNotice(): void {
    const { notice } = this.#notices;
    this.#rateLimit.setRate(notice?.maxCallsPerSecond);
    if (notice?.isLeaving === true) this.#queue.refuseQueued(makeTargetLeavingRefusal());
    this.#queue.refuseLate();
    this.#queue.admitQueued();
  }

  #checkSlowdown({ call, acceptsDelay }: Attempt): Refusal | undefined {
    if (acceptsDelay || !this.#slowdownTracker.isTooSlowFor(call.route.name, call.objective.leftMs))
      return undefined;
    const detail = `work takes ${this.#slowdownTracker.slowdown} times as long as usual at the target`;
    return makeNotRunRefusal(RefusalReason.TargetSlow, detail);
  }

  #startUnlessFenced(id: AttemptId | undefined): Refusal | undefined {
    if (!id || this.#ledger.start(id)) return undefined;
    return makeNotRunRefusal(RefusalReason.Fenced, 'the attempt was fenced while it waited');
  }

  async #execute(attempt: Attempt): Promise<AttemptResult> {
    const startMs = this.#timer.now();
    const inFlight = this.#queue.inFlight;
    const hadNoSlowdown = this.#slowdownTracker.slowdown <= 1;
    if (inFlight > this.#readLimit()) this.#overLimitCount += 1;
    const executionLimit = this.#limitExecution(attempt.call);
    const call = makeFingerprintable(attempt.call);
    const result = await this.#runTarget(call, executionLimit.signal);
    const elapsedMs = this.#timer.now() - startMs;
    this.#recordResult(call, result, { elapsedMs, inFlight, sentAtMs: startMs });
    if (hadNoSlowdown && result.isOk() && !result.value.shed) {
      this.#slowdownTracker.recordExecution(attempt.call.route.name, elapsedMs);
    }
    if (result.isErr()) {
      executionLimit.expiry.cancel();
      if (result.error.kind === TargetFailureKind.NotSent) this.#releaseUnused();
      else this.#queue.release();
      return this.#toAttemptResult(result.error);
    }
    if (result.value.shed) {
      executionLimit.expiry.cancel();
      await cancelBody(result.value.body);
      this.#queue.release();
      return this.#fail(
        FailureKind.Refused,
        makeNotRunRefusal(RefusalReason.TargetShed, 'the target shed the call'),
      );
    }
    return ok(this.#releaseAfterBody(call, result.value, executionLimit));
  }

  #runTarget(call: Call, signal: AbortSignal): Promise<Result<TargetAnswer, TargetFailure>> {
    const { id: callId, callerPool, method, pathAndQuery, headers, body } = call;
    const { leftMs } = call.deadline;
    const { targetId } = this.#identity;
    return this.#options.port.run({
      callId,
      callerPool,
      targetId,
      method,
      pathAndQuery,
      headers,
      body,
      leftMs,
      signal,
    });
  }

  /** A non-idempotent call continues after a caller disconnects, so that its answer can be kept. */
  #limitExecution(call: Call): ExecutionLimit {
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

  #recordResult(
    call: Call,
    result: Result<TargetAnswer, TargetFailure>,
    { elapsedMs, inFlight, sentAtMs }: { elapsedMs: number; inFlight: number; sentAtMs: number },
  ): void {
    if (result.isErr()) {
      this.#recordFailure(call, result.error);
      return;
    }
    const succeeded = result.value.status < SERVER_ERROR_STATUS;
    const { targetId, shed, reported, statement } = result.value;
    const sign = this.#health.recordAnswer(targetId, sentAtMs);
    if (!isOfTarget(sign)) return;
    this.#slowdownTracker.recordReport(reported);
    const source = shed ? NoticeSource.Shed : NoticeSource.Answer;
    this.#notices.record({ statement, sentAtMs, source });
    if (shed) return;
    this.#serviceTime.record(elapsedMs);
    this.#limit.record({ elapsedMs, inFlight, succeeded });
    const inTime = succeeded && !call.deadline.hasPassed;
    this.#warmUp.recordAnswer(inTime, this.#limit.current);
  }

  /** A call counts as answered only after the body, as the target may crash before its end. */
  #recordBodyEnd(call: Call, status: number, end: BodyEnd): void {
    if (end === BodyEnd.Truncated) this.#recordConnectionLost(call);
    if (end !== BodyEnd.Complete || status >= SERVER_ERROR_STATUS) return;
    const { quarantine, onSuspectAnswered } = this.#options;
    const fingerprint = quarantine.takeAnswerReport(call);
    if (fingerprint !== undefined) onSuspectAnswered(fingerprint);
  }

  #recordConnectionLost(call: Call): void {
    this.#crashDetector.recordLost(call);
    this.#health.recordConnectionLost();
  }

  #recordFailure(call: Call, failure: TargetFailure): void {
    switch (failure.kind) {
      case TargetFailureKind.NotSent:
        this.#health.recordConnectionRefused();
        break;
      case TargetFailureKind.ConnectionLost:
        this.#recordConnectionLost(call);
        break;
      case TargetFailureKind.MalformedAnswer:
      case TargetFailureKind.RequestTruncated:
        break;
      case TargetFailureKind.Cancelled:
        // A caller that disconnects is no sign of a slow target.
        if (call.deadline.hasPassed) this.#warmUp.recordAnswer(false, this.#limit.current);
        break;
    }
  }

  #toAttemptResult(failure: TargetFailure): AttemptResult {
    if (failure.kind === TargetFailureKind.NotSent) {
      return this.#fail(
        FailureKind.Refused,
        makeNotRunRefusal(RefusalReason.TargetDown, failure.detail),
      );
    }
    const isTruncated = failure.kind === TargetFailureKind.RequestTruncated;
    const reason = isTruncated ? RefusalReason.BodyCut : RefusalReason.AnswerLost;
    return this.#fail(FailureKind.Unknown, makeUnknownRefusal(reason, failure.detail));
  }

  /** Releases the slot when the answer's body completes or the execution is cancelled. */
  #releaseAfterBody(call: Call, answer: TargetAnswer, { signal, expiry }: ExecutionLimit): Answer {
    const { status, headers } = answer;
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      expiry.cancel();
      signal.removeEventListener('abort', release);
      this.#queue.release();
    };
    signal.addEventListener('abort', release);
    if (signal.aborted) release();
    const body = watchBody(answer.body, (end) => {
      release();
      if (!signal.aborted) this.#recordBodyEnd(call, status, end);
    });
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
      slowdown: this.#slowdownTracker.slowdown,
      paceAgeMs: Math.round(this.#slowdownTracker.reportAgeMs),
      leftMs: Math.round(call.deadline.leftMs),
    });
    return this.#fail(FailureKind.Refused, refusal);
  }

  #fail(kind: FailureKind, refusal: Refusal): AttemptResult {
    const version = this.#options.getVersion();
    const failure: AttemptFailure = { kind, refusal: { ...refusal, version }, load: this.load };
    return err(failure);
  }

  /** Time until the target's rate permits another call to start behind the queued ones. */
  get #startDelayMs(): number {
    const { startDelayMs, startIntervalMs } = this.#rateLimit;
    return startDelayMs + this.#queue.queued * startIntervalMs;
  }

  #readLimit(): number {
    return this.#warmUp.getLimit(this.#limit.current, this.#queue.inFlight);
  }

  #readAdmissionLimits(): AdmissionLimits {
    const pool = this.#options.getPool();
    return {
      limit: this.#readLimit(),
      queueLength: pool?.queueLength ?? 0,
      queueWaitMs: pool?.queueWaitMs ?? 0,
      serviceMs: this.#serviceTime.meanMs,
      startDelayMs: this.#rateLimit.startDelayMs,
      startIntervalMs: this.#rateLimit.startIntervalMs,
      onAdmit: () => {
        this.#warmUp.recordAdmission();
        this.#rateLimit.recordStart();
      },
    };
  }

  #readSlots(): number {
    return this.#options.getSlots() ?? this.#options.getPool()?.slots ?? 1;
  }
}

/** Keeps the start of a streamed body, so that its call has a fingerprint if the target crashes. */
function makeFingerprintable(call: Call): Call {
  if (!call.route.quarantine || call.body instanceof BufferedBody) return call;
  return { ...call, body: new RecordedBody(call.body) };
}

function makeTargetLeavingRefusal(): Refusal {
  return makeNotRunRefusal(RefusalReason.Leaving, 'the target says that it is leaving');
}

/** Load state of a target whose daemon accepts no calls. */
export const LEAVING_LOAD: LoadState = {
  inFlight: 0,
  limit: 0,
  queued: 0,
  serviceMs: 0,
  stage: TargetStage.Leaving,
};
