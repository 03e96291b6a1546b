import type { TimerService } from '../timer/mod.ts';

/** Options of {@linkcode WarmUp}. */
export interface WarmUpOptions {
  /** Calls that a target may get at once right after its start. */
  coldSlots: number;
  /** Shortest time at the cold limit, in milliseconds. */
  coldMs: number;
  /** Calls a second that a cold target bears; bounds the rate in place of the calls at once. */
  coldPerSecond?: number | undefined;
}

/** Answers in time, per call allowed at once, that raise the limit by one. */
const ANSWERS_PER_STEP = 3;
/** Calls that a cold target may get in a burst where its rate is bounded. */
const COLD_BURST = 2;
const MS_PER_SECOND = 1_000;

/**
 * Bounds the calls to a target after a cold start: begins at the cold limit,
 * stays there for a while, and then rises with answers in time. Where the
 * target's rate is bounded, that rate holds until the target says it is warm.
 */
export class WarmUp {
  readonly #timer: TimerService;
  readonly #options: () => WarmUpOptions;
  #startedAtMs: number;
  #coldUntilMs = Infinity;
  #limit: number;
  #answers = 0;
  #tokens = COLD_BURST;
  #filledAtMs: number;

  /**
   * @param timer The source of time.
   * @param options Gives the rules in force; see {@linkcode WarmUpOptions}.
   */
  constructor(timer: TimerService, options: () => WarmUpOptions) {
    this.#timer = timer;
    this.#options = options;
    this.#startedAtMs = timer.now();
    this.#filledAtMs = this.#startedAtMs;
    this.#limit = options().coldSlots;
  }

  /** Goes back to the cold limit. */
  restart(): void {
    this.#startedAtMs = this.#timer.now();
    this.#coldUntilMs = Infinity;
    this.#limit = this.#options().coldSlots;
    this.#answers = 0;
  }

  /** @param leftMs Time for which the target says that it stays cold, in milliseconds. */
  setColdRemaining(leftMs: number): void {
    this.#coldUntilMs = this.#timer.now() + leftMs;
  }

  /**
   * @param warmLimit Limit of a warm target.
   * @param inFlight Calls that it runs now.
   * @returns Calls that the target may run at once now.
   */
  currentLimit(warmLimit: number, inFlight: number): number {
    const { coldPerSecond } = this.#options();
    if (coldPerSecond === undefined) return Math.min(warmLimit, this.#limit);
    if (!this.isCold(warmLimit)) return warmLimit;
    this.#fill(coldPerSecond);
    return Math.min(warmLimit, inFlight + Math.floor(this.#tokens));
  }

  /**
   * @param warmLimit Limit of a warm target.
   * @returns Whether the limit is still below that of a warm target.
   */
  isCold(warmLimit: number): boolean {
    if (this.#options().coldPerSecond === undefined) return this.#limit < warmLimit;
    return this.#timer.now() < this.#coldUntilMs;
  }

  /** Counts a call that was admitted. */
  recordAdmission(): void {
    this.#tokens = Math.max(0, this.#tokens - 1);
  }

  /**
   * Counts an answer; once the target is warm, nothing changes any more.
   *
   * @param inTime Whether it came without an error before its deadline.
   * @param warmLimit Limit of a warm target.
   */
  recordAnswer(inTime: boolean, warmLimit: number): void {
    if (!this.isCold(warmLimit)) return;
    const { coldSlots, coldMs } = this.#options();
    if (this.#timer.now() - this.#startedAtMs < coldMs) return;
    if (!inTime) {
      this.#limit = Math.max(coldSlots, Math.floor(this.#limit / 2));
      this.#answers = 0;
      return;
    }
    this.#answers += 1;
    if (this.#answers < this.#limit * ANSWERS_PER_STEP) return;
    this.#limit += 1;
    this.#answers = 0;
  }

  #fill(perSecond: number): void {
    const nowMs = this.#timer.now();
    const added = ((nowMs - this.#filledAtMs) * perSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(COLD_BURST, this.#tokens + added);
    this.#filledAtMs = nowMs;
  }
}
