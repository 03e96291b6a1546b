import { TargetStage, type LoadState } from '../contract/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** Time after which a reported load says little about the present one, in milliseconds. */
const LOAD_DECAY_MS = 100;
/** Weight of the newest sample in a moving average. */
const SAMPLE_WEIGHT = 0.2;
/** Assumed time of a call at a target that was never seen, in milliseconds. */
const DEFAULT_SERVICE_MS = 5;
/** First period of avoidance after a failure, in milliseconds; it doubles with each further one. */
const PENALTY_BASE_MS = 50;
const PENALTY_MAX_MS = 5_000;
/** Time for which a report of an unavailable target is believed, in milliseconds. */
const UNAVAILABLE_HOLD_MS = 500;
/** Errors of the last {@linkcode ERROR_WINDOW} answers that make a target an outlier. */
const ERROR_WINDOW = 16;
const ERROR_LIMIT = 6;

/** How an attempt looked from the entry. */
export enum ObservedOutcome {
  Answered = 'answered',
  /** The target answered with a server error. */
  Failed = 'failed',
  Refused = 'refused',
  Lost = 'lost',
  /** The entry gave up before the end. */
  Abandoned = 'abandoned',
}

/** What one daemon knows of one target: its own attempts and the load that rode on answers. */
export class TargetView {
  readonly #timer: TimerService;
  /** Own attempts that have not ended. */
  outstanding = 0;
  #load: LoadState | undefined;
  #loadAtMs = 0;
  #outstandingAtLoad = 0;
  #roundTripMs: number | undefined;
  #failures = 0;
  #avoidUntilMs = 0;
  readonly #recentErrors: boolean[] = [];
  readonly #startsMs = new Set<{ atMs: number }>();

  /** @param timer The source of time. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns Whether its guard last said that it accepts nothing. */
  get isUnavailable(): boolean {
    const stage = this.#load?.stage;
    if (this.#timer.now() - this.#loadAtMs > UNAVAILABLE_HOLD_MS) return false;
    return stage === TargetStage.Leaving || stage === TargetStage.Down;
  }

  /** @returns Whether it is avoided after failures. */
  get isOutlier(): boolean {
    return this.#timer.now() < this.#avoidUntilMs;
  }

  /** @returns Age of the last reported load, in whole milliseconds; nothing before the first. */
  get loadAgeMs(): number | undefined {
    return this.#load && Math.round(this.#timer.now() - this.#loadAtMs);
  }

  /** @returns Mean time of a call at the target, in milliseconds. */
  get serviceMs(): number {
    return this.#load?.serviceMs ?? DEFAULT_SERVICE_MS;
  }

  /** @returns Measured time between send and answer without the target's own, in milliseconds. */
  get roundTripMs(): number | undefined {
    return this.#roundTripMs;
  }

  /** @returns Age of the oldest own attempt, in milliseconds. */
  get oldestAttemptAgeMs(): number {
    for (const start of this.#startsMs) return this.#timer.now() - start.atMs;
    return 0;
  }

  /** @returns Calls likely to be at the target now. */
  get expectedCalls(): number {
    if (!this.#load) return this.outstanding;
    const others = this.#load.inFlight + this.#load.queued - this.#outstandingAtLoad;
    const ageMs = this.#timer.now() - this.#loadAtMs;
    return this.outstanding + Math.max(0, others) * Math.exp(-ageMs / LOAD_DECAY_MS);
  }

  /** @returns Calls that the target may run at once, if its guard said so. */
  get limit(): number | undefined {
    return this.#load?.limit;
  }

  /** @returns Expected wait before a further call starts, in milliseconds. */
  get expectedWaitMs(): number {
    const limit = this.limit ?? 1;
    const ahead = Math.max(0, this.expectedCalls + 1 - limit);
    return (ahead * this.serviceMs) / Math.max(1, limit);
  }

  /**
   * Counts an attempt.
   *
   * @returns A function to call once with the attempt's end.
   */
  beginAttempt(): (sign: ObservedOutcome) => void {
    const start = { atMs: this.#timer.now() };
    this.outstanding += 1;
    this.#startsMs.add(start);
    return (sign) => {
      if (!this.#startsMs.delete(start)) return;
      this.outstanding -= 1;
      this.#recordSign(sign);
    };
  }

  /**
   * Takes in a load state that came with an answer or refusal.
   *
   * @param load The load state.
   * @param elapsedMs Time between send and answer, in milliseconds.
   */
  recordLoad(load: LoadState, elapsedMs: number): void {
    this.#load = load;
    this.#loadAtMs = this.#timer.now();
    this.#outstandingAtLoad = this.outstanding;
    const roundTripMs = Math.max(0, elapsedMs - load.serviceMs);
    const before = this.#roundTripMs ?? roundTripMs;
    this.#roundTripMs = before + SAMPLE_WEIGHT * (roundTripMs - before);
  }

  /** Marks the target as leaving until its guard says otherwise. */
  recordLeaving(): void {
    const load = this.#load ?? { inFlight: 0, limit: 0, queued: 0, serviceMs: DEFAULT_SERVICE_MS };
    this.#load = { ...load, stage: TargetStage.Leaving };
    this.#loadAtMs = this.#timer.now();
  }

  /** Forgets all reports, as after a restart of the target's daemon. */
  reset(): void {
    this.#load = undefined;
    this.#failures = 0;
    this.#avoidUntilMs = 0;
    this.#recentErrors.length = 0;
  }

  #recordSign(sign: ObservedOutcome): void {
    if (sign === ObservedOutcome.Abandoned || sign === ObservedOutcome.Refused) return;
    const isError = sign !== ObservedOutcome.Answered;
    this.#recentErrors.push(isError);
    if (this.#recentErrors.length > ERROR_WINDOW) this.#recentErrors.shift();
    const errors = this.#recentErrors.filter(Boolean).length;
    if (sign === ObservedOutcome.Lost || errors >= ERROR_LIMIT) this.#avoid();
    else if (errors === 0) this.#failures = 0;
  }

  #avoid(): void {
    const penaltyMs = Math.min(PENALTY_MAX_MS, PENALTY_BASE_MS * 2 ** this.#failures);
    this.#failures += 1;
    this.#avoidUntilMs = this.#timer.now() + penaltyMs;
    this.#recentErrors.length = 0;
  }
}
