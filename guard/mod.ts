/**
 * Guards one target: admission control, cold starts and adaptive concurrency limits.
 *
 * ```ts
 * import { VirtualTimer, WarmUp } from 'rhubarbkeel';
 *
 * const warmUp = new WarmUp(new VirtualTimer(), () => ({ coldSlots: 1, coldMs: 0 }));
 * console.assert(warmUp.getLimit(6) === 1);
 * for (let answer = 0; answer < 3; answer += 1) warmUp.recordAnswer(true, 6);
 * console.assert(warmUp.getLimit(6) === 2);
 * ```
 *
 * @module
 */
export * from './attempt_ledger.ts';
export * from './concurrency_limit.ts';
export * from './crash_detector.ts';
export * from './admission_queue.ts';
export * from './guard.ts';
export * from './notice_tracker.ts';
export * from './quarantine.ts';
export * from './rate_limit.ts';
export * from './service_time_average.ts';
export * from './target_health.ts';
export * from './target_identity.ts';
export * from './slowdown_tracker.ts';
export * from './target_port.ts';
export * from './target_prober.ts';
export * from './target_statement.ts';
export * from './token_bucket.ts';
export * from './warm_up.ts';
