import { spawn, type ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** A program of the benchmarks that runs as a process of its own and prints its port. */
export interface ChildProgram {
  process: ChildProcess;
  port: number;
}

/**
 * @param file File name of the program in this folder.
 * @param args Its arguments.
 * @returns The program, once it listens.
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
/** Places in the kernel's line about a process, counted after its name. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
const RESIDENT_PAGES = 21;

/** What the kernel has accounted to a process. */
export interface ProcessUsage {
  /** Processor time, in milliseconds. */
  cpuMs: number;
  /** Resident memory, in bytes. */
  residentBytes: number;
}

/**
 * @param child A running process.
 * @returns Its use of the processor and of memory so far.
 */
export function readUsage({ pid }: ChildProcess): ProcessUsage {
  const line = readFileSync(`/proc/${pid ?? 'self'}/stat`, 'utf8');
  const fields = line.slice(line.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  return {
    cpuMs: ticks * MS_PER_TICK,
    residentBytes: Number(fields[RESIDENT_PAGES]) * PAGE_BYTES,
  };
}
