import { mkdirSync, writeFileSync } from 'node:fs';
import { cac } from 'cac';
import { quantileSorted } from 'simple-statistics';
import { formatTable } from '../cli/output.ts';
import { SeededRandom } from '../random/mod.ts';
import { computeOracleLatencies } from './oracle.ts';
import { replayTrace, type TraceResult } from './replay.ts';
import { BASELINES, DEFAULT_POLICY, type Policy } from './policy.ts';
import { IN_TIME_LIMIT_MS, Scenario, drawTrace } from './scenario.ts';

const RESULTS_FOLDER = 'bench-results';
const ORACLE = 'oracle';

/** Results of one policy in one scenario over all seeds. */
interface PolicyResult {
  scenario: Scenario;
  policy: string;
  p50Ms: number;
  /** Median of the seeds' 99th percentiles, in milliseconds. */
  p99Ms: number;
  /** Lowest and highest 99th percentile of the seeds, in milliseconds. */
  p99Spread: [number, number];
  /** Share of the calls that were answered in time. */
  inTime: number;
  retriesPerCall: number;
  crossRegion: number;
  coldOverloads: number;
}

const cli = cac('rhubarbkeel-compare');
cli
  .command('', 'Replays the same traces under each policy and under an oracle')
  .option('--seeds <count>', 'Number of seeds, one trace each', { default: 5 })
  .option('--scenario <scenario>', 'Replay this scenario only')
  .option('--ours', 'Replay under the default policy and the oracle only')
  .action(async (options: { seeds: number; scenario?: string; ours?: boolean }) => {
    await run(options);
  });
cli.help();
cli.parse();

async function run(options: { seeds: number; scenario?: string; ours?: boolean }): Promise<void> {
  const seeds = Array.from({ length: options.seeds }, (_, index) => index + 1);
  const results: PolicyResult[] = [];
  for (const scenario of Object.values(Scenario)) {
    if (!isChosen(scenario, options.scenario)) continue;
    const scenarioResults = [measureOracle(scenario, seeds)];
    const policies = options.ours ? [DEFAULT_POLICY] : [DEFAULT_POLICY, ...BASELINES];
    for (const policy of policies)
      scenarioResults.push(await measurePolicy(scenario, policy, seeds));
    results.push(...scenarioResults);
    process.stdout.write(`${formatResults(scenarioResults)}\n\n`);
  }
  mkdirSync(RESULTS_FOLDER, { recursive: true });
  writeFileSync(
    `${RESULTS_FOLDER}/compare.json`,
    `${JSON.stringify({ seeds, cells: results }, null, 2)}\n`,
  );
}

function isChosen(scenario: string, selected: string | undefined): boolean {
  return selected === undefined || scenario === selected;
}

function measureOracle(scenario: Scenario, seeds: readonly number[]): PolicyResult {
  const runs = seeds.map((seed) => {
    const latenciesMs = computeOracleLatencies(
      scenario,
      drawTrace(scenario, new SeededRandom(seed)),
    );
    const answeredInTime = latenciesMs.filter((each) => each <= IN_TIME_LIMIT_MS).length;
    const calls = latenciesMs.length;
    return {
      latenciesMs,
      answeredInTime,
      calls,
      retries: 0,
      crossRegion: 0,
      coldOverloads: 0,
      probeShare: 0,
    };
  });
  return summarizeRuns(scenario, ORACLE, runs);
}

async function measurePolicy(
  scenario: Scenario,
  policy: Policy,
  seeds: readonly number[],
): Promise<PolicyResult> {
  const runs: TraceResult[] = [];
  for (const seed of seeds) {
    const arrivals = drawTrace(scenario, new SeededRandom(seed));
    runs.push(await replayTrace(scenario, policy, arrivals));
  }
  return summarizeRuns(scenario, policy.name, runs);
}

function summarizeRuns(
  scenario: Scenario,
  policy: string,
  runs: readonly TraceResult[],
): PolicyResult {
  const calls = sum(runs, (each) => each.calls);
  const p99sMs = runs.map(({ latenciesMs }) => percentile(latenciesMs, 0.99)).sort((a, b) => a - b);
  const allLatenciesMs = runs.flatMap(({ latenciesMs }) => latenciesMs);
  return {
    scenario,
    policy,
    p50Ms: percentile(allLatenciesMs, 0.5),
    p99Ms: p99sMs[Math.floor(p99sMs.length / 2)] ?? 0,
    p99Spread: [p99sMs[0] ?? 0, p99sMs.at(-1) ?? 0],
    inTime: sum(runs, (each) => each.answeredInTime) / calls,
    retriesPerCall: sum(runs, (each) => each.retries) / calls,
    crossRegion: sum(runs, (each) => each.crossRegion) / calls,
    coldOverloads: sum(runs, (each) => each.coldOverloads),
  };
}

function percentile(values: readonly number[], share: number): number {
  return quantileSorted(
    [...values].sort((a, b) => a - b),
    share,
  );
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}

function formatResults(results: readonly PolicyResult[]): string {
  const heading = [
    'scenario',
    'policy',
    'p50 ms',
    'p99 ms',
    'p99 spread',
    'in time',
    'extra runs',
    'cross-region',
    'cold overloads',
  ];
  const rows = results.map((result) => [
    result.scenario,
    result.policy,
    result.p50Ms.toFixed(1),
    result.p99Ms.toFixed(1),
    result.p99Spread.map((each) => each.toFixed(0)).join('-'),
    `${(result.inTime * 100).toFixed(2)}%`,
    `${(result.retriesPerCall * 100).toFixed(2)}%`,
    `${(result.crossRegion * 100).toFixed(1)}%`,
    String(result.coldOverloads),
  ]);
  return formatTable([heading, ...rows]);
}
