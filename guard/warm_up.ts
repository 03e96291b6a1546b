import type { TimerService } from '../timer/mod.ts';

/** Options of {@linkcode WarmUp}. */
export interface WarmUpOptions {
  /** Calls that a target may get at once right after its start. */
  coldSlots: number;
  /** Shortest time at the cold limit, in milliseconds. */
  coldMs: number;
}

/** Answers in time, per call allowed at once, that raise the limit by one. */
const ANSWERS_PER_STEP = 3;

/**
 * Bounds the calls to a target after a cold start: begins at the cold limit,
 * stays there for a while, and then rises with answers in time.
 */
export class WarmUp {
  readonly #timer: TimerService;
  readonly #options: () => WarmUpOptions;
  #startedAtMs: number;
  #limit: number;
  #answers = 0;

  /**
   * @param timer The source of time.
   * @param options Gives the rules in force; see {@linkcode WarmUpOptions}.
   */
  constructor(timer: TimerService, options: () => WarmUpOptions) {
    this.#timer = timer;
    this.#options = options;
    this.#startedAtMs = timer.now();
    this.#limit = options().coldSlots;
  }

  /** Goes back to the cold limit. */
  restart(): void {
    this.#startedAtMs = this.#timer.now();
    this.#limit = this.#options().coldSlots;
    this.#answers = 0;
  }

  /**
   * @param warmLimit Limit of a warm target.
   * @returns Calls that the target may run at once now.
   */
  limit(warmLimit: number): number {
    return Math.min(warmLimit, this.#limit);
  }

  /**
   * @param warmLimit Limit of a warm target.
   * @returns Whether the limit is still below that of a warm target.
   */
  isCold(warmLimit: number): boolean {
    return this.#limit < warmLimit;
  }

  /**
   * Counts an answer; once the target is warm, nothing changes any more.
   *
   * @param inTime Whether it came without an error before its deadline.
   * @param warmLimit Limit of a warm target.
   */
  record(inTime: boolean, warmLimit: number): void {
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
}
