/**
 * Spreading of the platform's documents over links.
 *
 * ```ts
 * import { Fleet, watchersOf } from 'rhubarbkeel';
 *
 * console.assert(watchersOf(new Fleet(0, []), 'centro-a').length === 0);
 * ```
 *
 * @module
 */
export * from './version_spread.ts';
