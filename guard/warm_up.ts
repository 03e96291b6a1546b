import type { TimerService } from '../timer/mod.ts';
import { TokenBucket } from './token_bucket.ts';

/** Options of {@linkcode WarmUp}. */
export interface WarmUpOptions {
  /** Number of concurrent calls that a target may get right after its start. */
  coldSlots: number;
  /** Shortest time at the cold limit, in milliseconds. */
  coldMs: number;
  /** Calls per second that a cold target may get; limits the rate instead of the concurrency. */
  coldPerSecond?: number | undefined;
}

/** Answers in time, per concurrent call allowed, after which the limit rises by one. */
const ANSWERS_PER_STEP = 3;
/** Largest burst of calls to a cold target whose rate is limited. */
const COLD_BURST = 2;

/**
 * Limits the calls to a target after a cold start. The limit starts at the cold
 * limit, stays there for a while and then rises with answers in time. A rate
 * limit, if there is one, applies instead until the target reports that it is warm.
 */
export class WarmUp {
  readonly #timer: TimerService;
  readonly #getOptions: () => WarmUpOptions;
  #startedAtMs: number;
  #coldUntilMs = Infinity;
  #limit: number;
  #answers = 0;
  readonly #bucket: TokenBucket;

  /**
   * @param timer The clock.
   * @param getOptions Returns the options in force; see {@linkcode WarmUpOptions}.
   */
  constructor(timer: TimerService, getOptions: () => WarmUpOptions) {
    this.#timer = timer;
    this.#getOptions = getOptions;
    this.#startedAtMs = timer.now();
    this.#bucket = new TokenBucket(timer, COLD_BURST);
    this.#limit = getOptions().coldSlots;
  }

  /** Returns to the cold limit. */
  restart(): void {
    this.#startedAtMs = this.#timer.now();
    this.#coldUntilMs = Infinity;
    this.#limit = this.#getOptions().coldSlots;
    this.#answers = 0;
  }

  /**
   * Sets the time until the target is warm.
   *
   * @param leftMs Time for which the target reports that it stays cold, in milliseconds.
   */
  setColdRemaining(leftMs: number): void {
    this.#coldUntilMs = this.#timer.now() + leftMs;
  }

  /**
   * @param warmLimit Concurrency limit of a warm target.
   * @param inFlight Number of calls that the target runs.
   * @returns Number of calls that the target may run concurrently.
   */
  getLimit(warmLimit: number, inFlight: number): number {
    const { coldPerSecond } = this.#getOptions();
    if (coldPerSecond === undefined) return Math.min(warmLimit, this.#limit);
    if (!this.isCold(warmLimit)) return warmLimit;
    this.#bucket.refill({ perSecond: coldPerSecond, capacity: COLD_BURST });
    return Math.min(warmLimit, inFlight + Math.floor(this.#bucket.tokens));
  }

  /**
   * @param warmLimit Concurrency limit of a warm target.
   * @returns Whether the calls are still limited more than those of a warm target.
   */
  isCold(warmLimit: number): boolean {
    if (this.#getOptions().coldPerSecond === undefined) return this.#limit < warmLimit;
    return this.#timer.now() < this.#coldUntilMs;
  }

  /** Counts an admitted call. */
  recordAdmission(): void {
    this.#bucket.take();
  }

  /**
   * Records an answer; has no effect once the target is warm.
   *
   * @param inTime Whether the call was answered without an error before its deadline.
   * @param warmLimit Concurrency limit of a warm target.
   */
  recordAnswer(inTime: boolean, warmLimit: number): void {
    if (!this.isCold(warmLimit)) return;
    const { coldSlots, coldMs } = this.#getOptions();
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
}
