/**
 * Seeded pseudo-random numbers.
 *
 * ```ts
 * import { SeededRandom } from 'rhubarbkeel';
 *
 * const random = new SeededRandom(7);
 * console.assert(random.below(1) === 0);
 * ```
 *
 * @module
 */
export * from './random_source.ts';
export * from './seeded_random.ts';
