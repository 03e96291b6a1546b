import { TargetStage, type LoadState, type TargetNotice } from '../contract/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** Time constant with which the weight of a reported load decays, in milliseconds. */
const LOAD_DECAY_MS = 100;
/** Weight of the newest sample in a moving average. */
const SAMPLE_WEIGHT = 0.2;
/** Execution time assumed for a target without a reported load, in milliseconds. */
const DEFAULT_SERVICE_MS = 5;
/** Time for which a target is avoided after a failure, in milliseconds; doubles each time. */
const PENALTY_BASE_MS = 50;
const PENALTY_MAX_MS = 5_000;
/** Time for which a target counts as unavailable after its guard reported so, in milliseconds. */
const UNAVAILABLE_HOLD_MS = 500;
const MS_PER_SECOND = 1_000;
/** Number of recent attempts among which errors are counted. */
const ERROR_WINDOW = 16;
/** Errors among the last {@linkcode ERROR_WINDOW} attempts that make a target an outlier. */
const ERROR_LIMIT = 6;

/** Outcome of an attempt as its entry observed it. */
export enum ObservedOutcome {
  Answered = 'answered',
  /** The target answered with a server error. */
  Failed = 'failed',
  Refused = 'refused',
  Lost = 'lost',
  /** The attempt was cancelled before it completed. */
  Cancelled = 'abandoned',
}

/** One daemon's view of one target: its own attempts and the load reported with answers. */
export class TargetView {
  readonly #timer: TimerService;
  /** Number of own attempts that have not completed. */
  outstanding = 0;
  #load: LoadState | undefined;
  #loadAtMs = 0;
  #outstandingAtLoad = 0;
  /** Number of own attempts that began after the last reported load. */
  #startsSinceLoad = 0;
  #roundTripMs: number | undefined;
  #failures = 0;
  #avoidUntilMs = 0;
  readonly #recentErrors: boolean[] = [];
  readonly #starts = new Set<{ atMs: number }>();

  /** @param timer The clock. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns Whether its guard recently reported that it accepts no calls. */
  get isUnavailable(): boolean {
    const stage = this.#load?.stage;
    if (this.#timer.now() - this.#loadAtMs > UNAVAILABLE_HOLD_MS) return false;
    if (this.notice?.maxCallsPerSecond === 0) return true;
    return stage === TargetStage.Leaving || stage === TargetStage.Down;
  }

  /** @returns Whether the target is avoided after failures. */
  get isOutlier(): boolean {
    return this.#timer.now() < this.#avoidUntilMs;
  }

  /** @returns Age of the last reported load, in whole milliseconds, if there is one. */
  get loadAgeMs(): number | undefined {
    return this.#load && Math.round(this.#timer.now() - this.#loadAtMs);
  }

  /** @returns Mean execution time at the target, in milliseconds. */
  get serviceMs(): number {
    return this.#load?.serviceMs ?? DEFAULT_SERVICE_MS;
  }

  /** @returns Mean time from send to answer less the execution time, in milliseconds, if measured. */
  get roundTripMs(): number | undefined {
    return this.#roundTripMs;
  }

  /** @returns Age of the oldest outstanding attempt, in milliseconds; zero if there is none. */
  get oldestAttemptAgeMs(): number {
    for (const start of this.#starts) return this.#timer.now() - start.atMs;
    return 0;
  }

  /** @returns Estimated number of calls that the target runs or queues. */
  get expectedCalls(): number {
    if (!this.#load) return this.outstanding;
    const others = this.#load.inFlight + this.#load.queued - this.#outstandingAtLoad;
    const ageMs = this.#timer.now() - this.#loadAtMs;
    return this.outstanding + Math.max(0, others) * Math.exp(-ageMs / LOAD_DECAY_MS);
  }

  /** @returns What the target asked of its callers when it last answered, if anything. */
  get notice(): TargetNotice | undefined {
    return this.#load?.notice;
  }

  /** @returns Number of calls that the target may run concurrently, if reported by its guard. */
  get limit(): number | undefined {
    return this.#load?.limit;
  }

  /** @returns Expected time that a new call is queued at the target, in milliseconds. */
  get expectedWaitMs(): number {
    const limit = this.limit ?? 1;
    const ahead = Math.max(0, this.expectedCalls + 1 - limit);
    const slotWaitMs = (ahead * this.serviceMs) / Math.max(1, limit);
    return Math.max(slotWaitMs, this.#rateWaitMs);
  }

  /** @returns Whether the target has named a rate of calls that it takes. */
  get isRateLimited(): boolean {
    return this.notice?.maxCallsPerSecond !== undefined;
  }

  /** Expected time until the rate that the target has named permits a new call to start. */
  get #rateWaitMs(): number {
    const { notice, startDelayMs = 0 } = this.#load ?? {};
    const { maxCallsPerSecond = 0 } = notice ?? {};
    if (maxCallsPerSecond === 0) return 0;
    const ageMs = this.#timer.now() - this.#loadAtMs;
    const ownStartsMs = (this.#startsSinceLoad * MS_PER_SECOND) / maxCallsPerSecond;
    return Math.max(0, startDelayMs + ownStartsMs - ageMs);
  }

  /**
   * Counts an outstanding attempt.
   *
   * @returns A function to call once, with the observed outcome, when the attempt completes.
   */
  beginAttempt(): (outcome: ObservedOutcome) => void {
    const start = { atMs: this.#timer.now() };
    this.outstanding += 1;
    this.#startsSinceLoad += 1;
    this.#starts.add(start);
    return (outcome) => {
      if (!this.#starts.delete(start)) return;
      this.outstanding -= 1;
      this.#recordOutcome(outcome);
    };
  }

  /**
   * Records a load state that came with an answer or a refusal.
   *
   * @param load The load state.
   * @param elapsedMs Time from sending the attempt to its result, in milliseconds.
   */
  recordLoad(load: LoadState, elapsedMs: number): void {
    this.#load = load;
    this.#loadAtMs = this.#timer.now();
    this.#outstandingAtLoad = this.outstanding;
    this.#startsSinceLoad = 0;
    const roundTripMs = Math.max(0, elapsedMs - load.serviceMs);
    const previous = this.#roundTripMs ?? roundTripMs;
    this.#roundTripMs = previous + SAMPLE_WEIGHT * (roundTripMs - previous);
  }

  /** Marks the target as leaving until its guard reports another stage. */
  recordLeaving(): void {
    const load = this.#load ?? { inFlight: 0, limit: 0, queued: 0, serviceMs: DEFAULT_SERVICE_MS };
    this.#load = { ...load, stage: TargetStage.Leaving };
    this.#loadAtMs = this.#timer.now();
  }

  /** Discards all reports, for example after a restart of the target's daemon. */
  reset(): void {
    this.#load = undefined;
    this.#failures = 0;
    this.#avoidUntilMs = 0;
    this.#recentErrors.length = 0;
  }

  #recordOutcome(outcome: ObservedOutcome): void {
    if (outcome === ObservedOutcome.Cancelled || outcome === ObservedOutcome.Refused) return;
    const isError = outcome !== ObservedOutcome.Answered;
    this.#recentErrors.push(isError);
    if (this.#recentErrors.length > ERROR_WINDOW) this.#recentErrors.shift();
    const errors = this.#recentErrors.filter(Boolean).length;
    if (outcome === ObservedOutcome.Lost || errors >= ERROR_LIMIT) this.#avoid();
    else if (errors === 0) this.#failures = 0;
  }

  #avoid(): void {
    const penaltyMs = Math.min(PENALTY_MAX_MS, PENALTY_BASE_MS * 2 ** this.#failures);
    this.#failures += 1;
    this.#avoidUntilMs = this.#timer.now() + penaltyMs;
    this.#recentErrors.length = 0;
  }
}
