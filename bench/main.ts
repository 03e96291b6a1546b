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
const REOPEN_DURATION_MS = 300;
const WARM_UP_DURATION_MS = 3_000;
const RESULTS_FOLDER = 'bench-results';

const cli = cac('rhubarbkeel-bench');
cli
  .command(
    '',
    'Compares the latency and throughput of the daemons with a pass-through proxy and direct calls',
  )
  .option('--quick', 'Finish in less than a minute')
  .action(async (options: { quick?: boolean }) => {
    await run(options.quick ? { rounds: 4, partMs: 2_000 } : { rounds: 10, partMs: 4_000 });
  });
cli.help();
cli.parse();

interface SetupMeasurement {
  setup: BenchSetup;
  /** Processes whose processor time counts for the setup. */
  programs: readonly ChildProgram['process'][];
  callsPerCpuSecond: number[];
}

async function run({ rounds, partMs }: { rounds: number; partMs: number }): Promise<void> {
  const target = await startProgram('target_process.js', [String(SERVICE_MS)]);
  const passThrough = await startProgram('pass_through.js', [`http://127.0.0.1:${target.port}`]);
  const deployment = await Deployment.start({
    configuration: makeConfiguration(),
    instances: [
      { pool: 'standings', failureDomain: 'centro-a' },
      { pool: 'boards', failureDomain: 'centro-b' },
    ],
    targetUrl: `http://127.0.0.1:${target.port}`,
  });
  const daemons = deployment.members.map(({ process: child }) => child);
  const measurements: SetupMeasurement[] = [
    makeMeasurement('direct', `http://127.0.0.1:${target.port}`, []),
    makeMeasurement('pass-through', `http://127.0.0.1:${passThrough.port}`, [passThrough.process]),
    makeMeasurement('rhubarbkeel', deployment.origins[0] ?? '', daemons),
  ];
  for (const { setup } of measurements)
    await callInLoops(setup, { callers: 8, durationMs: WARM_UP_DURATION_MS });
  for (const { setup } of measurements) setup.latency.reset();
  for (let round = 0; round < rounds; round += 1) {
    for (const { setup } of measurements) {
      await reopenConnections(setup);
      await callAtRate(setup, { perSecond: CALLS_PER_SECOND, durationMs: partMs });
    }
  }
  const latencies = measurements.map(({ setup }) => summarize(setup));
  for (let round = 0; round < rounds; round += 1) {
    for (const each of measurements) await measureThroughput(each, partMs / 2);
  }
  reportResults(measurements, latencies);
  await deployment.stop();
  target.process.kill();
  passThrough.process.kill();
  process.exit(measurements.some(({ setup }) => setup.failures > 0) ? 1 : 0);
}

/** Reopens the connections, which were closed as idle while other setups were measured. */
async function reopenConnections(setup: BenchSetup): Promise<void> {
  const unrecorded = { ...setup, latency: build() };
  await callAtRate(unrecorded, { perSecond: CALLS_PER_SECOND, durationMs: REOPEN_DURATION_MS });
}

/** Returns the example with slots for all callers, so that no call is refused during a measurement. */
function makeConfiguration(): string {
  const example = JSON.parse(readExample('plata/configuration.jsonc')) as ConfigurationDocument;
  const pools = example.pools.map((pool) => ({
    ...pool,
    slots: CONNECTIONS,
    coldSlots: CONNECTIONS,
  }));
  return JSON.stringify({ ...example, pools });
}

function makeMeasurement(
  name: string,
  origin: string,
  programs: SetupMeasurement['programs'],
): SetupMeasurement {
  return { setup: makeSetup(name, origin, CONNECTIONS), programs, callsPerCpuSecond: [] };
}

async function measureThroughput(each: SetupMeasurement, durationMs: number): Promise<void> {
  const cpuBefore = sumCpuMs(each);
  const callsBefore = each.setup.calls;
  await callInLoops(each.setup, { callers: LOOP_CALLERS, durationMs });
  const cpuSeconds = (sumCpuMs(each) - cpuBefore) / 1_000;
  each.callsPerCpuSecond.push((each.setup.calls - callsBefore) / cpuSeconds);
}

function sumCpuMs({ programs }: SetupMeasurement): number {
  return programs.reduce((sum, child) => sum + readUsage(child).cpuMs, 0);
}

interface Latencies {
  p50Ms: number;
  p99Ms: number;
  p999Ms: number;
}

function summarize(setup: BenchSetup): Latencies {
  return {
    p50Ms: getLatencyMs(setup, 50),
    p99Ms: getLatencyMs(setup, 99),
    p999Ms: getLatencyMs(setup, 99.9),
  };
}

function reportResults(
  measurements: readonly SetupMeasurement[],
  latencies: readonly Latencies[],
): void {
  const direct = latencies[0];
  const rows = measurements.map(({ setup, callsPerCpuSecond }, index) => {
    const setupLatencies = latencies[index];
    return {
      way: setup.name,
      ...setupLatencies,
      addedP50Ms: (setupLatencies?.p50Ms ?? 0) - (direct?.p50Ms ?? 0),
      addedP99Ms: (setupLatencies?.p99Ms ?? 0) - (direct?.p99Ms ?? 0),
      callsPerCpuSecond: setup.name === 'direct' ? undefined : median(callsPerCpuSecond),
      failures: setup.failures,
    };
  });
  const [, passThrough, balancer] = rows;
  const throughputRatio =
    (balancer?.callsPerCpuSecond ?? 0) / (passThrough?.callsPerCpuSecond ?? 1);
  const result = { callsPerSecond: CALLS_PER_SECOND, rows, throughputRatio };
  mkdirSync(RESULTS_FOLDER, { recursive: true });
  writeFileSync(`${RESULTS_FOLDER}/bench.json`, `${JSON.stringify(result, null, 2)}\n`);
  console.table(rows);
  process.stdout.write(
    `throughput per core, rhubarbkeel to pass-through: ${throughputRatio.toFixed(2)} (objective: at least 0.50)\n`,
  );
  process.stdout.write(
    `added at p99: ${balancer?.addedP99Ms.toFixed(2) ?? '?'} ms (objective: at most 1.60 ms)\n`,
  );
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
