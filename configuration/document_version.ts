/** Number of versions that belong to one revision: a provisional and a final one. */
const VERSIONS_PER_REVISION = 2;
const REVISIONS_PER_ERA = 2 ** 40;
const VERSIONS_PER_ERA = REVISIONS_PER_ERA * VERSIONS_PER_REVISION;

/** Largest era of which versions can be made; all versions are safe integers. */
export const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / VERSIONS_PER_ERA);

/** Parts of the version of a document, the most significant one first. */
export interface DocumentVersion {
  /** Number of times that the platform was restored from a copy of its content. */
  era: number;
  /** Revision of the platform; starts anew in each era. */
  revision: number;
  /** Whether a later document of the same revision may replace this one. */
  isProvisional: boolean;
}

/**
 * Makes the number by which versions of a document are ordered.
 *
 * @param version The parts of the version.
 * @returns A number that is larger for a later era, revision or a final document.
 */
export function composeVersion({ era, revision, isProvisional }: DocumentVersion): number {
  const rank = isProvisional ? 0 : 1;
  return era * VERSIONS_PER_ERA + revision * VERSIONS_PER_REVISION + rank;
}

/**
 * Splits the number of a version into its parts.
 *
 * @param version A number made by {@linkcode composeVersion}.
 * @returns The parts.
 */
export function parseVersion(version: number): DocumentVersion {
  const inEra = version % VERSIONS_PER_ERA;
  return {
    era: Math.floor(version / VERSIONS_PER_ERA),
    revision: Math.floor(inEra / VERSIONS_PER_REVISION),
    isProvisional: inEra % VERSIONS_PER_REVISION === 0,
  };
}
