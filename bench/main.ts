import { mkdirSync, writeFileSync } from 'node:fs';
import { cac } from 'cac';
import { build } from 'hdr-histogram-js';
import { Deployment, readExample } from '../demo/deployment.ts';
import type { ConfigurationDocument } from '../configuration/mod.ts';
import { readUsage, startProgram, type ChildProgram } from './child_program.ts';
import { callAtRate, callInLoops, getLatencyMs, makeSetup, type BenchSetup } from './load.ts';

const CALLS_PER_SECOND = 60;
const LOOP_CALLERS = 32;
const CONNECTIONS = 64;
const SERVICE_MS = 0;
const REOPEN_MS = 300;
const WARM_UP_MS = 3_000;
const RESULTS = 'bench-results';

const cli = cac('rhubarbkeel-bench');
cli
  .command('', 'Times the daemons beside a bare pass-through and direct calls')
  .option('--quick', 'Take less than a minute')
  .action(async (options: { quick?: boolean }) => {
    await run(options.quick ? { rounds: 4, partMs: 2_000 } : { rounds: 10, partMs: 4_000 });
  });
cli.help();
cli.parse();

interface Measured {
  way: BenchSetup;
  /** Processes whose processor time the way costs. */
  programs: readonly ChildProgram['process'][];
  callsPerCpuSecond: number[];
}

async function run({ rounds, partMs }: { rounds: number; partMs: number }): Promise<void> {
  const target = await startProgram('target_process.js', [String(SERVICE_MS)]);
  const passThrough = await startProgram('pass_through.js', [`http://127.0.0.1:${target.port}`]);
  const deployment = await Deployment.start({
    configuration: roomyConfiguration(),
    instances: [
      { pool: 'standings', failureDomain: 'centro-a' },
      { pool: 'boards', failureDomain: 'centro-b' },
    ],
    targetUrl: `http://127.0.0.1:${target.port}`,
  });
  const daemons = deployment.members.map(({ process: child }) => child);
  const measured: Measured[] = [
    measure('direct', `http://127.0.0.1:${target.port}`, []),
    measure('pass-through', `http://127.0.0.1:${passThrough.port}`, [passThrough.process]),
    measure('rhubarbkeel', deployment.origins[0] ?? '', daemons),
  ];
  for (const { way } of measured) await callInLoops(way, { callers: 8, durationMs: WARM_UP_MS });
  for (const { way } of measured) way.latency.reset();
  for (let round = 0; round < rounds; round += 1) {
    for (const { way } of measured) {
      await reopenConnections(way);
      await callAtRate(way, { perSecond: CALLS_PER_SECOND, durationMs: partMs });
    }
  }
  const latencies = measured.map(({ way }) => summarize(way));
  for (let round = 0; round < rounds; round += 1) {
    for (const each of measured) await measureThroughput(each, partMs / 2);
  }
  report(measured, latencies);
  await deployment.stop();
  target.process.kill();
  passThrough.process.kill();
  process.exit(measured.some(({ way }) => way.failures > 0) ? 1 : 0);
}

/** While the other ways were timed, the connections of this one have been closed as idle. */
async function reopenConnections(way: BenchSetup): Promise<void> {
  const unrecorded = { ...way, latency: build() };
  await callAtRate(unrecorded, { perSecond: CALLS_PER_SECOND, durationMs: REOPEN_MS });
}

/** The example with room for all callers, so that nothing is refused while throughput is measured. */
function roomyConfiguration(): string {
  const example = JSON.parse(readExample('plata/configuration.jsonc')) as ConfigurationDocument;
  const pools = example.pools.map((pool) => ({
    ...pool,
    slots: CONNECTIONS,
    coldSlots: CONNECTIONS,
  }));
  return JSON.stringify({ ...example, pools });
}

function measure(name: string, origin: string, programs: Measured['programs']): Measured {
  return { way: makeSetup(name, origin, CONNECTIONS), programs, callsPerCpuSecond: [] };
}

async function measureThroughput(each: Measured, durationMs: number): Promise<void> {
  const cpuBefore = cpuMs(each);
  const callsBefore = each.way.calls;
  await callInLoops(each.way, { callers: LOOP_CALLERS, durationMs });
  const cpuSeconds = (cpuMs(each) - cpuBefore) / 1_000;
  each.callsPerCpuSecond.push((each.way.calls - callsBefore) / cpuSeconds);
}

function cpuMs({ programs }: Measured): number {
  return programs.reduce((sum, child) => sum + readUsage(child).cpuMs, 0);
}

interface Latencies {
  p50Ms: number;
  p99Ms: number;
  p999Ms: number;
}

function summarize(way: BenchSetup): Latencies {
  return {
    p50Ms: getLatencyMs(way, 50),
    p99Ms: getLatencyMs(way, 99),
    p999Ms: getLatencyMs(way, 99.9),
  };
}

function report(measured: readonly Measured[], latencies: readonly Latencies[]): void {
  const direct = latencies[0];
  const rows = measured.map(({ way, callsPerCpuSecond }, index) => {
    const own = latencies[index];
    return {
      way: way.name,
      ...own,
      addedP50Ms: (own?.p50Ms ?? 0) - (direct?.p50Ms ?? 0),
      addedP99Ms: (own?.p99Ms ?? 0) - (direct?.p99Ms ?? 0),
      callsPerCpuSecond: way.name === 'direct' ? undefined : median(callsPerCpuSecond),
      failures: way.failures,
    };
  });
  const [, bare, ours] = rows;
  const throughputRatio = (ours?.callsPerCpuSecond ?? 0) / (bare?.callsPerCpuSecond ?? 1);
  const result = { callsPerSecond: CALLS_PER_SECOND, rows, throughputRatio };
  mkdirSync(RESULTS, { recursive: true });
  writeFileSync(`${RESULTS}/bench.json`, `${JSON.stringify(result, null, 2)}\n`);
  console.table(rows);
  process.stdout.write(
    `throughput per core, ours to pass-through: ${throughputRatio.toFixed(2)} (wanted: 0.50 or more)\n`,
  );
  process.stdout.write(
    `added at p99: ${ours?.addedP99Ms.toFixed(2) ?? '?'} ms (wanted: 1.60 or less)\n`,
  );
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
