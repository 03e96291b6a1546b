/**
 * Client library for callers: handles idempotency keys, retries, deadlines and outcomes.
 *
 * ```ts
 * import { Caller, RealTimer } from 'rhubarbkeel';
 *
 * const timer = new RealTimer();
 * const caller = new Caller({ timer, origins: ['http://127.0.0.1:1'], workspace: 'plata' });
 * const result = await caller.call({ method: 'GET', path: '/boards', deadlineMs: 30 });
 * console.assert(result.status === 0);
 * ```
 *
 * @module
 */
export * from './caller.ts';
