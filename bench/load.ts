import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

const MICROSECONDS_PER_MS = 1_000;

/** One way to the target, and its measurements so far. */
export interface BenchSetup {
  name: string;
  pool: Pool;
  headers: Record<string, string>;
  latency: Histogram;
  calls: number;
  failures: number;
}

/**
 * @param name Name of the way.
 * @param origin Origin that calls are sent to.
 * @param connections Connections that may be open at once.
 * @returns The way, without measurements.
 */
export function makeSetup(name: string, origin: string, connections: number): BenchSetup {
  return {
    name,
    pool: new Pool(origin, { connections }),
    headers: { 'rhubarbkeel-workspace': 'plata' },
    latency: build({ numberOfSignificantValueDigits: 3 }),
    calls: 0,
    failures: 0,
  };
}

/**
 * Makes one call and records its latency.
 *
 * @param way The way to take.
 */
export async function callOnce(way: BenchSetup): Promise<void> {
  const startMs = performance.now();
  const res = await way.pool.request({ method: 'GET', path: '/boards/3', headers: way.headers });
  await res.body.arrayBuffer();
  way.calls += 1;
  if (res.statusCode !== 200) way.failures += 1;
  way.latency.recordValue(Math.round((performance.now() - startMs) * MICROSECONDS_PER_MS));
}

/**
 * Makes calls at a steady rate, whether earlier ones have ended or not.
 *
 * @param way The way to take.
 * @param options Rate and duration.
 */
export async function callAtRate(
  way: BenchSetup,
  { perSecond, durationMs }: { perSecond: number; durationMs: number },
): Promise<void> {
  const periodMs = 1_000 / perSecond;
  const endMs = performance.now() + durationMs;
  const open: Promise<void>[] = [];
  for (let dueMs = performance.now(); dueMs < endMs; dueMs += periodMs) {
    await waitUntil(dueMs);
    open.push(callOnce(way));
  }
  await Promise.all(open);
}

/**
 * Makes calls one after the other from several callers at once.
 *
 * @param way The way to take.
 * @param options Callers and duration.
 */
export async function callInLoops(
  way: BenchSetup,
  { callers, durationMs }: { callers: number; durationMs: number },
): Promise<void> {
  const endMs = performance.now() + durationMs;
  const loop = async () => {
    while (performance.now() < endMs) await callOnce(way);
  };
  await Promise.all(Array.from({ length: callers }, loop));
}

/**
 * @param way A way that was measured.
 * @param percentile Percentile from 0 to 100.
 * @returns Latency at that percentile, in milliseconds.
 */
export function getLatencyMs({ latency }: BenchSetup, percentile: number): number {
  return latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

function waitUntil(dueMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, dueMs - performance.now()));
  });
}
