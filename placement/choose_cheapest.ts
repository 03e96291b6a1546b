import type { Candidate } from './candidate.ts';
import type { Choice } from './picker.ts';
import { findCheapest } from './sample.ts';

/**
 * @param compared Targets to compare.
 * @param cost Cost of one.
 * @returns The choice of the one of least cost; nothing if there is none to compare.
 */
export function chooseCheapest(
  compared: readonly Candidate[],
  cost: (candidate: Candidate) => number,
): Choice | undefined {
  const candidate = findCheapest(compared, cost);
  return candidate && { candidate, compared };
}
