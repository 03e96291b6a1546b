/**
 * Contracts with callers: workspaces, routes, pools, calls and their outcomes.
 *
 * ```ts
 * import { RetryBudget } from 'rhubarbkeel';
 *
 * const budget = new RetryBudget(10, { getBurst: () => 1 });
 * console.assert(budget.tryAcquire() && !budget.tryAcquire());
 * ```
 *
 * @module
 */
export * from './answer_status.ts';
export * from './body.ts';
export * from './buffer_if_small.ts';
export * from './call.ts';
export * from './deadline.ts';
export * from './fingerprint.ts';
export * from './load_state.ts';
export * from './outcome.ts';
export * from './recorded_body.ts';
export * from './refusal.ts';
export * from './retry_budget.ts';
export * from './route.ts';
export * from './route_table.ts';
export * from './target_notice.ts';
