import { spawn, type ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** Program of the benchmarks that runs in a separate process and prints its port. */
export interface ChildProgram {
  process: ChildProcess;
  port: number;
}

/**
 * Starts a program of this folder.
 *
 * @param file File name of the program.
 * @param args Arguments of the program.
 * @returns The program, as soon as it listens.
 */
export async function startProgram(file: string, args: readonly string[]): Promise<ChildProgram> {
  const path = fileURLToPath(new URL(`./${file}`, import.meta.url));
  const child = spawn(process.execPath, [path, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
  const port = await new Promise<number>((resolve) => {
    child.stdout.once('data', (data: Buffer) => {
      resolve(Number(data.toString()));
    });
  });
  return { process: child, port };
}

const MS_PER_TICK = 10;
const PAGE_BYTES = 4_096;
/** Indexes of fields in `/proc/PID/stat`, counted from the field after the process name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/** Resource usage of a process. */
export interface ProcessUsage {
  /** Processor time, in milliseconds. */
  cpuMs: number;
  /** Resident memory, in bytes. */
  residentBytes: number;
}

/**
 * Reads the resource usage of a process from `/proc`.
 *
 * @param child A running process.
 * @returns Processor time since its start and current resident memory.
 */
export function readUsage({ pid }: ChildProcess): ProcessUsage {
  const line = readFileSync(`/proc/${pid ?? 'self'}/stat`, 'utf8');
  const fields = line.slice(line.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    cpuMs: ticks * MS_PER_TICK,
    residentBytes: Number(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES,
  };
}
