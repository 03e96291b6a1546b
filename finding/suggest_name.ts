import { closest, distance } from 'fastest-levenshtein';

/** Largest edit distance for a suggestion, as a share of the suggested name's length. */
const MAX_DISTANCE_SHARE = 0.5;

/**
 * Suggests the known name that is closest to an unknown one.
 *
 * @param unknown The unknown name.
 * @param known The known names.
 * @returns `, did you mean "name"?`, or an empty string if no name is close enough.
 */
export function suggestName(unknown: string, known: readonly string[]): string {
  if (known.length === 0) return '';
  const nearest = closest(unknown, known);
  const maxDistance = Math.max(1, Math.floor(nearest.length * MAX_DISTANCE_SHARE));
  if (distance(unknown, nearest) > maxDistance) return '';
  return `, did you mean "${nearest}"?`;
}
