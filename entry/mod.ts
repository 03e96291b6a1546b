/**
 * The entry: accepts calls from callers, dispatches them and is responsible for their outcomes.
 *
 * ```ts
 * import { AttemptCounter } from 'rhubarbkeel';
 *
 * const attempts = new AttemptCounter('incarnation');
 * console.assert(attempts.next().sequence === 1);
 * ```
 *
 * @module
 */
export * from './attempt_counter.ts';
export * from './call_router.ts';
export * from './dispatcher.ts';
export * from './entry.ts';
export * from './hedge.ts';
export * from './key_relay.ts';
export * from './peer_directory.ts';
export * from './pool_budgets.ts';
export * from './settle_attempt.ts';
