/** Options of {@linkcode RetryBudget}. */
export interface RetryBudgetOptions {
  /** @returns Retries that may be made in a burst. */
  getBurst?: () => number;
}

const DEFAULT_BURST = 10;

/**
 * Bounds retries to a share of calls, so that retries cannot multiply an
 * overload.
 */
export class RetryBudget {
  readonly #share: number;
  readonly #burst: () => number;
  #tokens: number;

  /**
   * @param percent Retries per hundred calls.
   * @param options See {@linkcode RetryBudgetOptions}.
   */
  constructor(percent: number, options: RetryBudgetOptions = {}) {
    this.#share = percent / 100;
    this.#burst = options.getBurst ?? (() => DEFAULT_BURST);
    this.#tokens = this.#burst();
  }

  /** Counts one call, which earns a share of a retry. */
  recordCall(): void {
    this.#tokens = Math.min(this.#burst(), this.#tokens + this.#share);
  }

  /** @returns Whether a retry may be made; if so it is counted. */
  tryAcquire(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
