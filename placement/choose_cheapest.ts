import type { Candidate } from './candidate.ts';
import type { PickedTarget } from './picker.ts';
import { findCheapest } from './sample.ts';

/**
 * Chooses the candidate with the lowest cost.
 *
 * @param compared The candidates to compare.
 * @param cost Returns the cost of a candidate.
 * @returns The picked target; `undefined` if there are no candidates.
 */
export function chooseCheapest(
  compared: readonly Candidate[],
  cost: (candidate: Candidate) => number,
): PickedTarget | undefined {
  const candidate = findCheapest(compared, cost);
  return candidate && { candidate, compared };
}
