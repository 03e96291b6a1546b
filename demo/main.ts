#!/usr/bin/env node
import { randomUUID } from 'node:crypto';
import { cac } from 'cac';
import { Caller, type CallerCall } from '../caller/mod.ts';
import { Outcome } from '../contract/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { RUN_ID_HEADER } from '../stand_in/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { CallTally, getPercentileMs } from './call_tally.ts';
import { Deployment, readExample, type InstanceSpec } from './deployment.ts';

const CALLERS = 24;
const THINK_MS = 40;
const SUMMARY_PERIOD_MS = 2_000;
const DIRECT_CALLS = 400;

const PLATA_INSTANCES: readonly InstanceSpec[] = [
  { pool: 'boards', failureDomain: 'centro-a' },
  { pool: 'results', failureDomain: 'centro-b' },
  { pool: 'standings', failureDomain: 'norte-a' },
  { pool: 'results', failureDomain: 'norte-b' },
  { pool: 'boards', failureDomain: 'sur-a' },
  { pool: 'ratings', failureDomain: 'sur-b' },
];

/** Kinds of call and their percentages of all calls. */
const CALL_KINDS = [
  { label: 'read board', percent: 50, method: 'GET', path: '/boards/3' },
  { label: 'post result', percent: 20, method: 'POST', path: '/results' },
  { label: 'read standings', percent: 20, method: 'GET', path: '/standings' },
  { label: 'read ratings', percent: 10, method: 'GET', path: '/ratings/9' },
] as const;

/** Number of executions of each posted result at the targets, by run id. */
const runCounts = new Map<string, number>();
const answered = new Set<string>();
const refused = new Set<string>();
const timer = new RealTimer();
const tally = new CallTally();

const cli = cac('rhubarbkeel-demo');
cli
  .command('', 'Runs the chess pairings example on this machine')
  .option('--keep', 'Keep everything running after the calls')
  .option('--seconds <seconds>', 'Time for which callers send calls', { default: 10 })
  .action(async (options: { keep?: boolean; seconds: number }) => {
    await run(options.keep ?? false, options.seconds);
  });
cli.help();
cli.parse();

async function run(keep: boolean, seconds: number): Promise<void> {
  process.stdout.write('Starting the platform stand-in, six targets and six daemons ...\n');
  const deployment = await Deployment.start({
    configuration: readExample('plata/configuration.jsonc'),
    instances: PLATA_INSTANCES,
    onRun: (runId) => runCounts.set(runId, (runCounts.get(runId) ?? 0) + 1),
  });
  printAddresses(deployment);
  const endMs = timer.now() + seconds * 1_000;
  const summary = timer.every(SUMMARY_PERIOD_MS, printSummary);
  const callers = Array.from({ length: CALLERS }, (_, index) =>
    runCaller(deployment, index, endMs),
  );
  await Promise.all(callers);
  summary.cancel();
  const directP99Ms = await measureDirect(deployment);
  const isClean = printTable(directP99Ms);
  if (keep) {
    process.stdout.write('\nStill running; press Ctrl-C to stop.\n');
    process.once('SIGINT', () => void deployment.stop().then(() => process.exit(0)));
    return;
  }
  await deployment.stop();
  process.exit(isClean ? 0 : 1);
}

async function runCaller(deployment: Deployment, index: number, endMs: number): Promise<void> {
  const random = new SeededRandom(index + 1);
  const { origins } = deployment;
  const caller = new Caller({ timer, origins, workspace: 'plata', originOffset: index });
  while (timer.now() < endMs) {
    await makeCall(caller, random);
    await sleep(timer, random.below(THINK_MS * 2));
  }
}

async function makeCall(caller: Caller, random: SeededRandom): Promise<void> {
  const kind = pickKind(random.below(100));
  const runId = randomUUID();
  const isPost = kind.method === 'POST';
  const call: CallerCall = {
    method: kind.method,
    path: kind.path,
    routeLabel: kind.label,
    headers: isPost ? { [RUN_ID_HEADER]: runId, 'content-type': 'application/json' } : {},
    body: isPost ? JSON.stringify({ board: 3, result: '1-0' }) : undefined,
  };
  const startMs = timer.now();
  const result = await caller.call(call);
  tally.record(kind.label, result.outcome, timer.now() - startMs);
  if (!isPost) return;
  if (result.outcome === Outcome.Answered) answered.add(runId);
  if (result.outcome === Outcome.NotRun) refused.add(runId);
}

function pickKind(draw: number): (typeof CALL_KINDS)[number] {
  let upperBound = 0;
  for (const kind of CALL_KINDS) {
    upperBound += kind.percent;
    if (draw < upperBound) return kind;
  }
  return CALL_KINDS[0];
}

/** Measures the latency of calls that go directly to the targets. */
async function measureDirect(deployment: Deployment): Promise<{ p50: number; p99: number }> {
  const direct = new CallTally();
  const ports = deployment.members.map(({ target }) => target.port);
  for (let call = 0; call < DIRECT_CALLS; call += 1) {
    const startMs = timer.now();
    const res = await fetch(`http://127.0.0.1:${ports[call % ports.length] ?? 0}/direct`);
    await res.arrayBuffer();
    direct.record('direct', Outcome.Answered, timer.now() - startMs);
  }
  const { latency } = direct.getTally('direct');
  return { p50: getPercentileMs(latency, 50), p99: getPercentileMs(latency, 99) };
}

function printAddresses(deployment: Deployment): void {
  for (const { instance, operatorAddress } of deployment.members) {
    const { id, callerAddress } = instance;
    process.stdout.write(
      `  ${id.padEnd(20)} callers http://${callerAddress}  operators http://${operatorAddress}\n`,
    );
  }
  process.stdout.write(`  platform             http://127.0.0.1:${deployment.platform.port}\n`);
}

function printSummary(): void {
  const parts = tally.kinds.map((name) => {
    const { answered: count, latency } = tally.getTally(name);
    return `${name} ${count} (p99 ${getPercentileMs(latency, 99).toFixed(1)} ms)`;
  });
  process.stdout.write(`${parts.join(', ')}\n`);
}

function printTable(direct: { p50: number; p99: number }): boolean {
  const doubled = [...runCounts.values()].filter((count) => count > 1).length;
  const untrue = [...refused].filter((runId) => runCounts.has(runId)).length;
  const dropped = [...answered].filter((runId) => !runCounts.has(runId)).length;
  process.stdout.write(
    '\nkind             calls  answered  not run  unknown   p50 ms   p99 ms  p99.9 ms  added p50  added p99\n',
  );
  for (const name of tally.kinds) process.stdout.write(`${formatRow(name, direct)}\n`);
  process.stdout.write(
    `\ndoubled = ${doubled}, dropped = ${dropped}, untrue "not run" = ${untrue}\n`,
  );
  return doubled + dropped + untrue === 0;
}

function formatRow(name: string, direct: { p50: number; p99: number }): string {
  const kind = tally.getTally(name);
  const p50 = getPercentileMs(kind.latency, 50);
  const p99 = getPercentileMs(kind.latency, 99);
  const times = [p50, p99, getPercentileMs(kind.latency, 99.9), p50 - direct.p50, p99 - direct.p99];
  const counts = [kind.sent, kind.answered, kind.notRun, kind.unknown];
  return [
    name.padEnd(15),
    ...counts.map((count) => String(count).padStart(8)),
    ...times.map((value) => value.toFixed(2).padStart(9)),
  ].join(' ');
}
