/** A source of pseudo-random numbers; the same seed produces the same numbers. */
export interface RandomSource {
  /**
   * Draws a number from a uniform distribution.
   *
   * @param limit Number of possible results, at least one.
   * @returns An integer from 0 to `limit - 1`.
   */
  below(limit: number): number;
}
