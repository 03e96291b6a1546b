import { closest, distance } from 'fastest-levenshtein';

/** Share of a name's letters that may differ for it to be suggested. */
const MAX_DISTANCE_SHARE = 0.5;

/**
 * Finds the known name that is nearest to an unknown one.
 *
 * @param got The unknown name.
 * @param known The names that are allowed.
 * @returns `, did you mean "name"?` or an empty string if none is near.
 */
export function suggestName(got: string, known: readonly string[]): string {
  if (known.length === 0) return '';
  const nearest = closest(got, known);
  const tolerated = Math.max(1, Math.floor(nearest.length * MAX_DISTANCE_SHARE));
  if (distance(got, nearest) > tolerated) return '';
  return `, did you mean "${nearest}"?`;
}
