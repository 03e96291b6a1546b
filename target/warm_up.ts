/** Answers in time, per call allowed at once, that raise the limit by one. */
const ANSWERS_PER_STEP = 3;

/**
 * Bounds the calls to a target after a cold start: begins at the cold limit
 * and rises with answers in time, not with the clock.
 */
export class WarmUp {
  readonly #coldSlots: number;
  #limit: number;
  #answers = 0;

  /** @param coldSlots Calls that a target may get at once right after its start. */
  constructor(coldSlots: number) {
    this.#coldSlots = coldSlots;
    this.#limit = coldSlots;
  }

  /** Goes back to the cold limit. */
  restart(): void {
    this.#limit = this.#coldSlots;
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
   * Counts an answer.
   *
   * @param inTime Whether it came without an error before its deadline.
   */
  record(inTime: boolean): void {
    if (!inTime) {
      this.#limit = Math.max(this.#coldSlots, Math.floor(this.#limit / 2));
      this.#answers = 0;
      return;
    }
    this.#answers += 1;
    if (this.#answers < this.#limit * ANSWERS_PER_STEP) return;
    this.#limit += 1;
    this.#answers = 0;
  }
}
