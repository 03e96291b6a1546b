import { RetryBudget } from '../contract/mod.ts';

/** One budget of further attempts for each pool. */
export class PoolBudgets {
  readonly #percentOf: (pool: string) => number;
  readonly #burst: (() => number) | undefined;
  readonly #budgets = new Map<string, RetryBudget>();

  /**
   * @param percentOf Gives the further attempts per hundred calls of a pool.
   * @param burst Gives the further attempts that may be made in a burst.
   */
  constructor(percentOf: (pool: string) => number, burst?: () => number) {
    this.#percentOf = percentOf;
    this.#burst = burst;
  }

  /**
   * @param pool Name of a pool.
   * @returns Its budget.
   */
  forPool(pool: string): RetryBudget {
    let budget = this.#budgets.get(pool);
    if (!budget) {
      budget = new RetryBudget(this.#percentOf(pool), { getBurst: this.#burst });
      this.#budgets.set(pool, budget);
    }
    return budget;
  }
}
