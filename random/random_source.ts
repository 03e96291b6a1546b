/** A source of pseudo-random numbers; the same seed gives the same numbers. */
export interface RandomSource {
  /**
   * @param limit Number of possible results, at least one.
   * @returns A whole number from 0 to `limit - 1`.
   */
  below(limit: number): number;
}
