/** Options of {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
  /** @returns Largest number of retries in a burst. */
  getBurst?: () => number;
}

const DEFAULT_BURST = 10;

/**
 * Token bucket that limits retries to a share of the calls, so that retries
 * cannot multiply an overload.
 */
export class RetryBudget {
  readonly #share: number;
  readonly #getBurst: () => number;
  #tokens: number;

  /**
   * @param percent Retries per hundred calls.
   * @param options See {@linkcode RetryBudgetOptions}.
   */
  constructor(percent: number, options: RetryBudgetOptions = {}) {
    this.#share = percent / 100;
    this.#getBurst = options.getBurst ?? (() => DEFAULT_BURST);
    this.#tokens = this.#getBurst();
  }

  /** Counts a call, which adds a share of a retry to the budget. */
  recordCall(): void {
    this.#tokens = Math.min(this.#getBurst(), this.#tokens + this.#share);
  }

  /**
   * Takes a retry from the budget.
   *
   * @returns Whether the budget allowed the retry.
   */
  tryAcquire(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
