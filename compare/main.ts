import { mkdirSync, writeFileSync } from 'node:fs';
import { cac } from 'cac';
import { quantileSorted } from 'simple-statistics';
import { formatTable } from '../cli/output.ts';
import { SeededRandom } from '../random/mod.ts';
import { computeOracleLatencies } from './oracle.ts';
import { replayTrace, type TraceResult } from './replay.ts';
import { BASELINES, DEFAULT_POLICY, type Policy } from './policy.ts';
import { IN_TIME_LIMIT_MS, Scenario, drawTrace } from './scenario.ts';

const RESULTS = 'bench-results';
const ORACLE = 'oracle';

/** Figures of one policy in one scenario, each over all seeds. */
interface Cell {
  scenario: Scenario;
  policy: string;
  p50Ms: number;
  p99Ms: number;
  /** Lowest and highest over the seeds. */
  p99Spread: [number, number];
  inTime: number;
  retriesPerCall: number;
  crossRegion: number;
  coldOverloads: number;
}

const cli = cac('rhubarbkeel-compare');
cli
  .command('', 'Plays the same traces over each policy and over an oracle')
  .option('--seeds <count>', 'Seeds', { default: 5 })
  .option('--scenario <scenario>', 'Play this scenario only')
  .option('--ours', 'Play the default policy and the oracle only')
  .action(async (options: { seeds: number; scenario?: string; ours?: boolean }) => {
    await run(options);
  });
cli.help();
cli.parse();

async function run(options: { seeds: number; scenario?: string; ours?: boolean }): Promise<void> {
  const seeds = Array.from({ length: options.seeds }, (_, index) => index + 1);
  const cells: Cell[] = [];
  for (const scenario of Object.values(Scenario)) {
    if (!isChosen(scenario, options.scenario)) continue;
    const rows = [oracleCell(scenario, seeds)];
    const policies = options.ours ? [DEFAULT_POLICY] : [DEFAULT_POLICY, ...BASELINES];
    for (const policy of policies) rows.push(await policyCell(scenario, policy, seeds));
    cells.push(...rows);
    process.stdout.write(`${toTable(rows)}\n\n`);
  }
  mkdirSync(RESULTS, { recursive: true });
  writeFileSync(`${RESULTS}/compare.json`, `${JSON.stringify({ seeds, cells }, null, 2)}\n`);
}

function isChosen(scenario: string, named: string | undefined): boolean {
  return named === undefined || scenario === named;
}

function oracleCell(scenario: Scenario, seeds: readonly number[]): Cell {
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
  return toCell(scenario, ORACLE, runs);
}

async function policyCell(
  scenario: Scenario,
  policy: Policy,
  seeds: readonly number[],
): Promise<Cell> {
  const runs: TraceResult[] = [];
  for (const seed of seeds) {
    const arrivals = drawTrace(scenario, new SeededRandom(seed));
    runs.push(await replayTrace(scenario, policy, arrivals));
  }
  return toCell(scenario, policy.name, runs);
}

function toCell(scenario: Scenario, policy: string, runs: readonly TraceResult[]): Cell {
  const calls = sum(runs, (each) => each.calls);
  const p99s = runs.map(({ latenciesMs }) => percentile(latenciesMs, 0.99)).sort((a, b) => a - b);
  const all = runs.flatMap(({ latenciesMs }) => latenciesMs);
  return {
    scenario,
    policy,
    p50Ms: percentile(all, 0.5),
    p99Ms: p99s[Math.floor(p99s.length / 2)] ?? 0,
    p99Spread: [p99s[0] ?? 0, p99s.at(-1) ?? 0],
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

function toTable(cells: readonly Cell[]): string {
  const heading = [
    'scenario',
    'policy',
    'p50 ms',
    'p99 ms',
    'p99 spread',
    'in time',
    'extra runs',
    'far',
    'cold overloads',
  ];
  const rows = cells.map((cell) => [
    cell.scenario,
    cell.policy,
    cell.p50Ms.toFixed(1),
    cell.p99Ms.toFixed(1),
    cell.p99Spread.map((each) => each.toFixed(0)).join('-'),
    `${(cell.inTime * 100).toFixed(2)}%`,
    `${(cell.retriesPerCall * 100).toFixed(2)}%`,
    `${(cell.crossRegion * 100).toFixed(1)}%`,
    String(cell.coldOverloads),
  ]);
  return formatTable([heading, ...rows]);
}
