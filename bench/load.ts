import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

const MICROSECONDS_PER_MS = 1_000;

/** Setup under test, such as direct calls or calls through daemons, and its measurements. */
export interface BenchSetup {
  name: string;
  pool: Pool;
  headers: Record<string, string>;
  /** Latencies in microseconds. */
  latency: Histogram;
  calls: number;
  failures: number;
}

/**
 * Makes a setup without measurements.
 *
 * @param name Name of the setup.
 * @param origin Origin that calls are sent to.
 * @param connections Highest number of open connections.
 * @returns The setup.
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
 * @param setup The setup to call.
 */
export async function callOnce(setup: BenchSetup): Promise<void> {
  const startMs = performance.now();
  const res = await setup.pool.request({
    method: 'GET',
    path: '/boards/3',
    headers: setup.headers,
  });
  await res.body.arrayBuffer();
  setup.calls += 1;
  if (res.statusCode !== 200) setup.failures += 1;
  setup.latency.recordValue(Math.round((performance.now() - startMs) * MICROSECONDS_PER_MS));
}

/**
 * Makes calls at a constant rate (open loop): a call does not wait for earlier ones.
 *
 * @param setup The setup to call.
 * @param options Rate in calls per second and duration in milliseconds.
 */
export async function callAtRate(
  setup: BenchSetup,
  { perSecond, durationMs }: { perSecond: number; durationMs: number },
): Promise<void> {
  const periodMs = 1_000 / perSecond;
  const endMs = performance.now() + durationMs;
  const inFlight: Promise<void>[] = [];
  for (let dueMs = performance.now(); dueMs < endMs; dueMs += periodMs) {
    await waitUntil(dueMs);
    inFlight.push(callOnce(setup));
  }
  await Promise.all(inFlight);
}

/**
 * Makes calls from several concurrent callers (closed loop): each waits for the answer to its
 * previous call.
 *
 * @param setup The setup to call.
 * @param options Number of callers and duration in milliseconds.
 */
export async function callInLoops(
  setup: BenchSetup,
  { callers, durationMs }: { callers: number; durationMs: number },
): Promise<void> {
  const endMs = performance.now() + durationMs;
  const loop = async () => {
    while (performance.now() < endMs) await callOnce(setup);
  };
  await Promise.all(Array.from({ length: callers }, loop));
}

/**
 * Returns a percentile of the latencies of a setup.
 *
 * @param setup The measured setup.
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
