/** Location of a {@linkcode Finding} in a document; line and column count from one. */
export interface SourceLocation {
  /** Name of the document, usually its path. */
  file: string;
  line: number;
  column: number;
}

/** One problem in a document. */
export interface Finding {
  place: SourceLocation;
  /** Path of the value in the document, such as `routes[2].pool`. */
  path: string;
  /** Description of the problem: what was expected and what was found. */
  problem: string;
}

/**
 * Formats a finding for the terminal or the log.
 *
 * @param finding The finding.
 * @returns One line, `file:line:column: path: problem`.
 */
export function formatFinding(finding: Finding): string {
  const { file, line, column } = finding.place;
  const subject = finding.path === '' ? '' : `${finding.path}: `;
  return `${file}:${line}:${column}: ${subject}${finding.problem}`;
}

/**
 * Compares two findings by location, for use in sorting.
 *
 * @param left A finding.
 * @param right Another finding in the same document.
 * @returns A negative number if `left` comes first, a positive one if `right` does, otherwise zero.
 */
export function compareFindings(left: Finding, right: Finding): number {
  return left.place.line - right.place.line || left.place.column - right.place.column;
}
