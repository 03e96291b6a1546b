import { RetryBudget } from '../contract/mod.ts';

/** Retry budgets by pool. */
export class PoolBudgets {
  readonly #getPercent: (pool: string) => number;
  readonly #getBurst: (() => number) | undefined;
  readonly #budgets = new Map<string, RetryBudget>();

  /**
   * @param getPercent Returns the number of retries per hundred calls to a pool.
   * @param getBurst Returns the number of retries that may be made in a burst.
   */
  constructor(getPercent: (pool: string) => number, getBurst?: () => number) {
    this.#getPercent = getPercent;
    this.#getBurst = getBurst;
  }

  /**
   * Returns the budget of a pool and creates it on first use.
   *
   * @param pool Name of the pool.
   * @returns The budget of the pool.
   */
  forPool(pool: string): RetryBudget {
    let budget = this.#budgets.get(pool);
    if (!budget) {
      budget = new RetryBudget(this.#getPercent(pool), { getBurst: this.#getBurst });
      this.#budgets.set(pool, budget);
    }
    return budget;
  }
}
