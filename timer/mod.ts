/**
 * Monotonic time, timers, and the detection of pauses.
 *
 * ```ts
 * import { VirtualTimer } from 'rhubarbkeel';
 *
 * const timer = new VirtualTimer();
 * let fired = 0;
 * timer.every(10, () => { fired += 1; });
 * await timer.advance(35);
 * console.assert(fired === 3);
 * ```
 *
 * @module
 */
export * from './pause_detector.ts';
export * from './real_timer.ts';
export * from './sleep.ts';
export * from './timer_service.ts';
export * from './virtual_timer.ts';
export * from './with_timeout.ts';
