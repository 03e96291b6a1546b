/** Where in a document a {@linkcode Finding} was made; line and column count from one. */
export interface Place {
  /** Name of the document, usually its path. */
  file: string;
  line: number;
  column: number;
}

/** One problem in a document. */
export interface Finding {
  place: Place;
  /** Path of the value in the document, such as `routes[2].pool`. */
  path: string;
  /** What is wrong and what was got. */
  problem: string;
}

/**
 * @param finding The finding to print.
 * @returns One line, `file:line:column: path: problem`.
 */
export function formatFinding(finding: Finding): string {
  const { file, line, column } = finding.place;
  const subject = finding.path === '' ? '' : `${finding.path}: `;
  return `${file}:${line}:${column}: ${subject}${finding.problem}`;
}

/**
 * Orders findings by their places.
 *
 * @param left A finding.
 * @param right Another one of the same document.
 * @returns Below zero if the first stands before the second.
 */
export function compareFindings(left: Finding, right: Finding): number {
  return left.place.line - right.place.line || left.place.column - right.place.column;
}
