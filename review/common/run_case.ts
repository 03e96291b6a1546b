/**
 * Runs a case, prints its result and ends the process with the status that stands for it.
 *
 * @module
 */

/** Result of a case. */
export interface Verdict {
  isBroken: boolean;
  summary: string;
  /** Whether the case could be judged; true by default. */
  hasRun?: boolean;
}

const BROKEN_STATUS = 1;
const NOT_RUN_STATUS = 2;

/**
 * Runs a case.
 *
 * @param name Its name.
 * @param run Plays the case, with or without its disruption.
 */
export async function runCase(
  name: string,
  run: (isDisrupted: boolean) => Promise<Verdict>,
): Promise<void> {
  const isDisrupted = process.env.TROUBLE !== '0';
  try {
    const { isBroken, summary, hasRun = true } = await run(isDisrupted);
    const result = isBroken ? 'broken' : hasRun ? 'held' : 'could not be judged';
    console.log(`${name}${isDisrupted ? '' : ' without the disruption'}: ${result}: ${summary}`);
    process.exit(isBroken ? BROKEN_STATUS : hasRun ? 0 : NOT_RUN_STATUS);
  } catch (error) {
    console.error(`${name}: could not run: ${error instanceof Error ? error.message : 'error'}`);
    process.exit(NOT_RUN_STATUS);
  }
}
