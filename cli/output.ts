import { formatFinding, type Finding } from '../finding/mod.ts';

/** Prints results as text or as JSON. */
export class Output {
  readonly #isJson: boolean;

  /** @param isJson Whether to print JSON. */
  constructor(isJson: boolean) {
    this.#isJson = isJson;
  }

  /**
   * Prints one result to standard output.
   *
   * @param value The result, printed as JSON if JSON was chosen.
   * @param text The result as text, printed otherwise.
   */
  print(value: unknown, text: string): void {
    process.stdout.write(this.#isJson ? `${JSON.stringify(value, null, 2)}\n` : `${text}\n`);
  }

  /**
   * Prints findings: JSON to standard output, text to standard error.
   *
   * @param findings The findings.
   */
  printFindings(findings: readonly Finding[]): void {
    if (this.#isJson) {
      process.stdout.write(`${JSON.stringify({ findings }, null, 2)}\n`);
      return;
    }
    for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`);
  }

  /**
   * Prints an error to standard error.
   *
   * @param problem Reason why the command failed.
   */
  printError(problem: string): void {
    process.stderr.write(`${problem}\n`);
  }
}

/**
 * Formats a table with aligned columns.
 *
 * @param rows Cells of each row, the heading first.
 * @returns The table, one line per row.
 */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
