import type { Candidate } from './candidate.ts';
import type { Choice } from './picker.ts';
import { cheapest } from './sample.ts';

/**
 * @param compared Targets to compare.
 * @param cost Cost of one.
 * @returns The choice of the one of least cost; nothing if there is none to compare.
 */
export function choose(
  compared: readonly Candidate[],
  cost: (candidate: Candidate) => number,
): Choice | undefined {
  const candidate = cheapest(compared, cost);
  return candidate && { candidate, compared };
}
