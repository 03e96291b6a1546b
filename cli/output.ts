import { formatFinding, type Finding } from '../finding/mod.ts';

/** Prints results for people, or as JSON. */
export class Output {
  readonly #isJson: boolean;

  /** @param isJson Whether to print JSON. */
  constructor(isJson: boolean) {
    this.#isJson = isJson;
  }

  /**
   * @param value The result for programs.
   * @param text The result for people.
   */
  print(value: unknown, text: string): void {
    process.stdout.write(this.#isJson ? `${JSON.stringify(value, null, 2)}\n` : `${text}\n`);
  }

  /** @param findings Problems to report together. */
  printFindings(findings: readonly Finding[]): void {
    if (this.#isJson) {
      process.stdout.write(`${JSON.stringify({ findings }, null, 2)}\n`);
      return;
    }
    for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`);
  }

  /** @param problem Why the command failed. */
  printError(problem: string): void {
    process.stderr.write(`${problem}\n`);
  }
}

/**
 * @param rows Cells of each row, the heading first.
 * @returns The rows with aligned columns.
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
