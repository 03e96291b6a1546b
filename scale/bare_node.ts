import { spawn } from 'node:child_process';
import { readUsage } from '../bench/child_program.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

const SETTLE_MS = 1_000;

/**
 * Measures a Node.js process that does nothing, for comparison with a daemon.
 *
 * @param timer Timer for the wait until the process has started.
 * @returns Resident memory of the process, in bytes.
 */
export async function measureBareNodeMemory(timer: TimerService): Promise<number> {
  const child = spawn(process.execPath, ['-e', 'setInterval(() => undefined, 1000)']);
  await sleep(timer, SETTLE_MS);
  const { residentBytes } = readUsage(child);
  child.kill();
  return residentBytes;
}
