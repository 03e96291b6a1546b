import t from 'tap';
import { Outcome } from '../contract/mod.ts';
import {
  InProcessCluster,
  makeExampleConfiguration,
  type ClusterCallResult,
} from '../fakes/mod.ts';
import { NO_STATEMENT, StatedRateKind, type TargetStatement } from '../guard/mod.ts';

const ENTRIES = ['results-centro-a', 'results-norte-a'];
const TARGETS = ['boards-centro-a', 'boards-centro-b', 'boards-norte-a'];
const [LIMITED = ''] = TARGETS;
const CALL_INTERVAL_MS = 20;
const DEADLINE_MS = 800;
/** Calls that arrive at once at a guard that has just started. */
const BURST_CALLS = 60;
/** Time in which a daemon starts, in milliseconds. */
const STARTUP_MS = 200;
/** Window in which the calls of a target are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Time for which a target may get calls at any rate after it first named one, in milliseconds. */
const LEARNING_MS = 1_000;
/** Calls in a window that a target with a rate tolerates: a multiple of the rate, and some more. */
const TOLERATED_SHARE = 1.5;
const TOLERATED_CALLS = 5;

/** Number of the three targets that name a rate, and the rate. */
const LIMITED_SETUPS = [
  { limited: 1, perSecond: 0.4 },
  { limited: 1, perSecond: 2 },
  { limited: 2, perSecond: 6.5 },
  { limited: 3, perSecond: 2 },
  { limited: 3, perSecond: 0 },
];

function makeStatement(perSecond: number): TargetStatement {
  return { ...NO_STATEMENT, rate: { kind: StatedRateKind.Named, perSecond } };
}

/** A cluster under constant load, and what its targets and callers see. */
class LoadedCluster {
  readonly cluster: InProcessCluster;
  readonly #startsByTarget: Map<string, number[]>;
  readonly #calls: Promise<{ result: ClusterCallResult; elapsedMs: number }>[] = [];
  #callCount = 0;

  private constructor(cluster: InProcessCluster, startsByTarget: Map<string, number[]>) {
    this.cluster = cluster;
    this.#startsByTarget = startsByTarget;
  }

  static async start(): Promise<LoadedCluster> {
    const startsByTarget = new Map<string, number[]>(TARGETS.map((id) => [id, []]));
    const example = makeExampleConfiguration({ version: 1 });
    const pools = example.pools.map((pool) => ({ ...pool, coldSlots: pool.slots }));
    const cluster: InProcessCluster = await InProcessCluster.start({
      configuration: { ...example, pools },
      instances: [...ENTRIES, ...TARGETS].map((id) => {
        const [name = '', ...domain] = id.split('-');
        return { id, pool: name, failureDomain: domain.join('-') };
      }),
      delayMs: (from, to) => (from === to ? 1 : 3),
      serviceMs: () => 30,
      onRun: (_runId, instanceId) => {
        startsByTarget.get(instanceId)?.push(cluster.timer.now());
      },
    });
    return new LoadedCluster(cluster, startsByTarget);
  }

  /** Sends calls for some time, at each entry in turn. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.cluster.timer.now() + durationMs;
    while (this.cluster.timer.now() < endMs) {
      this.burst(1);
      await this.cluster.timer.advance(CALL_INTERVAL_MS);
    }
  }

  /** Sends calls at once, at each entry in turn. */
  burst(callCount: number): void {
    for (let call = 0; call < callCount; call += 1) {
      const entry = ENTRIES[this.#callCount % ENTRIES.length] ?? '';
      this.#callCount += 1;
      this.#calls.push(this.#call(entry));
    }
  }

  /** Counts the calls that a target started in the busiest window since a time. */
  countBusiest(target: string, sinceMs: number): number {
    const starts = (this.#startsByTarget.get(target) ?? []).filter((atMs) => atMs >= sinceMs);
    const counts = starts.map(
      (fromMs) => starts.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length,
    );
    return Math.max(0, ...counts);
  }

  describeRate(target: string, sinceMs: number, perSecond: number): string {
    const allowed = (perSecond * TOLERATED_SHARE * WINDOW_MS) / 1_000 + TOLERATED_CALLS;
    const busiest = this.countBusiest(target, sinceMs);
    return busiest <= allowed ? 'within its rate' : `${busiest} calls, ${allowed} tolerated`;
  }

  /** Describes the results of all calls: shares, reasons, and how refused callers were treated. */
  async describeCalls(): Promise<string> {
    await this.cluster.timer.advance(2 * DEADLINE_MS);
    const calls = await Promise.all(this.#calls);
    const refused = calls.filter(({ result }) => result.outcome !== Outcome.Answered);
    const reasons = [...new Set(refused.map(({ result }) => result.text))].sort().join(', ');
    const slowest = Math.max(0, ...refused.map(({ elapsedMs }) => elapsedMs));
    const lacksDelay = refused.some(({ result }) => !((result.refusal?.retryAfterMs ?? 0) > 0));
    const answered = calls.length - refused.length;
    if (refused.length === 0) return 'all answered';
    const when = slowest < DEADLINE_MS / 2 ? 'early' : `after up to ${slowest} ms`;
    return `${answered} of ${calls.length} answered, others refused ${when} as ${reasons}${lacksDelay ? ' without a delay' : ''}`;
  }

  async #call(entry: string): Promise<{ result: ClusterCallResult; elapsedMs: number }> {
    const startMs = this.cluster.timer.now();
    const pathAndQuery = `/boards/${this.#callCount}`;
    const result = await this.cluster.call(entry, { pathAndQuery, deadlineMs: DEADLINE_MS });
    return { result, elapsedMs: this.cluster.timer.now() - startMs };
  }
}

void t.test('a target that names a rate gets no more calls than it tolerates', async (t) => {
  const seen: string[] = [];
  for (const { limited, perSecond } of LIMITED_SETUPS) {
    const load = await LoadedCluster.start();
    const { cluster } = load;
    await load.run(500);
    const ids = TARGETS.slice(0, limited);
    for (const id of ids) cluster.member(id).target.statement = makeStatement(perSecond);
    const sinceMs = cluster.timer.now() + LEARNING_MS;
    await load.run(6_000);
    const rates = ids.map((id) => load.describeRate(id, sinceMs, perSecond));
    const name = `${limited} of 3 at ${perSecond}/s`;
    seen.push(`${name}: ${[...new Set(rates)].join('; ')}; ${await load.describeCalls()}`);
  }
  t.matchSnapshot(seen, 'rates');
});

void t.test('a guard that restarts keeps to the rate that its target had named', async (t) => {
  const load = await LoadedCluster.start();
  const { cluster } = load;
  await load.run(500);
  for (const id of TARGETS) cluster.member(id).target.statement = makeStatement(1);
  await load.run(3_000);
  const sinceMs = cluster.timer.now();
  for (let restart = 0; restart < 3; restart += 1) {
    cluster.restartDaemon(LIMITED);
    await cluster.timer.advance(STARTUP_MS);
    load.burst(BURST_CALLS);
    await load.run(1_000);
  }
  t.matchSnapshot(load.describeRate(LIMITED, sinceMs, 1), 'after three restarts');
});

void t.test('the rate of a target ends when the target no longer names one', async (t) => {
  const load = await LoadedCluster.start();
  const { cluster } = load;
  const { target } = cluster.member(LIMITED);
  target.statement = makeStatement(2);
  await load.run(2_000);
  target.statement = { ...NO_STATEMENT, rate: { kind: StatedRateKind.Malformed, text: 'soon' } };
  const malformedAtMs = cluster.timer.now();
  await load.run(4_000);
  const malformed = load.describeRate(LIMITED, malformedAtMs, 2);
  target.statement = NO_STATEMENT;
  await load.run(2_000);
  const endedAtMs = cluster.timer.now();
  await load.run(4_000);
  const isUnlimited = load.countBusiest(LIMITED, endedAtMs) > 2 * 4 * 3;
  target.statement = makeStatement(2);
  await load.run(1_000);
  cluster.member(LIMITED).target.crash();
  target.statement = NO_STATEMENT;
  await load.run(2_000);
  const restartedAtMs = cluster.timer.now();
  await load.run(4_000);
  const isRestartUnlimited = load.countBusiest(LIMITED, restartedAtMs) > 2 * 4 * 3;
  t.matchSnapshot(
    [
      `malformed: ${malformed}`,
      `no longer named: ${isUnlimited ? 'unlimited' : 'limited'}`,
      `new process: ${isRestartUnlimited ? 'unlimited' : 'limited'}`,
    ],
    'rates',
  );
});

void t.test('a target that says that it is leaving gets no further calls', async (t) => {
  const load = await LoadedCluster.start();
  const { cluster } = load;
  await load.run(500);
  cluster.member(LIMITED).target.statement = { ...NO_STATEMENT, isLeaving: true };
  await load.run(500);
  const sinceMs = cluster.timer.now();
  await load.run(1_000);
  const before = load.countBusiest(LIMITED, sinceMs);
  cluster.restartDaemon(LIMITED);
  await load.run(1_500);
  const after = load.countBusiest(LIMITED, sinceMs);
  cluster.member(LIMITED).target.crash();
  cluster.member(LIMITED).target.statement = NO_STATEMENT;
  await load.run(3_000);
  const isBack = load.countBusiest(LIMITED, cluster.timer.now() - 1_000) > 0;
  t.matchSnapshot(
    [
      `calls while it leaves: ${before}`,
      `calls after a restart of its daemon: ${after}`,
      `its next process ${isBack ? 'gets calls' : 'gets none'}`,
      await load.describeCalls(),
    ],
    'calls',
  );
});
