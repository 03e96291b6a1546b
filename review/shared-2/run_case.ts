/* eslint-disable no-restricted-globals */
import { writeFileSync } from 'node:fs';

/** Longest time of a case, in milliseconds. */
const LIMIT_MS = 110_000;

/** Exit codes of a case. */
export enum Verdict {
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
}

/** Lines of the record of a case. */
export class Record {
  readonly #lines: string[] = [];

  /** @param line Line to add. */
  write(line: string): void {
    this.#lines.push(line);
    console.log(line);
  }

  /** @returns All lines. */
  get text(): string {
    return `${this.#lines.join('\n')}\n`;
  }
}

/**
 * Runs a case, writes its record to the file that the first argument names, and exits.
 *
 * @param run The case; gets the record and whether the disruption is to happen.
 */
export async function runCase(
  run: (record: Record, isDisrupted: boolean) => Promise<Verdict>,
): Promise<void> {
  const record = new Record();
  const file = process.argv[2] ?? 'record.txt';
  const end = (verdict: Verdict) => {
    record.write(`verdict: ${Verdict[verdict]}`);
    writeFileSync(file, record.text);
    process.exit(verdict);
  };
  setTimeout(() => {
    record.write('the case took too long');
    end(Verdict.CouldNotRun);
  }, LIMIT_MS);
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    process.once(signal, () => {
      end(Verdict.CouldNotRun);
    });
  const isDisrupted = process.env.TROUBLE !== '0';
  record.write(`disruption: ${isDisrupted ? 'yes' : 'no'}`);
  try {
    end(await run(record, isDisrupted));
  } catch (error) {
    record.write(error instanceof Error ? (error.stack ?? error.message) : 'unknown error');
    end(Verdict.CouldNotRun);
  }
}
