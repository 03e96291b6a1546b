import t from 'tap';
import {
  CrashStep,
  EXAMPLE_DOMAINS,
  InProcessCluster,
  POISON_HEADER,
  makeExampleConfiguration,
  type ClusterMember,
} from '../fakes/mod.ts';

const STEP_MS = 10;
const LIMIT_MS = 4_000;
/** Time between two calls that are answered; a guard reports answers at most once a second. */
const ANSWER_PERIOD_MS = 200;
const CRASHING_CALL = { pathAndQuery: '/halls/9', deadlineMs: 400 };

async function startCluster(): Promise<InProcessCluster> {
  const instances = EXAMPLE_DOMAINS.flatMap((failureDomain) =>
    [0, 1, 2, 3, 4, 5].map((index) => ({
      id: `${index < 4 ? 'boards' : 'results'}-${failureDomain}-${index}`,
      pool: index < 4 ? 'boards' : 'results',
      failureDomain,
    })),
  );
  const quarantine = { coincidences: 8, blockMs: 60_000 };
  const configuration = makeExampleConfiguration();
  const cluster = await InProcessCluster.start({
    configuration,
    instances,
    settings: { quarantine },
  });
  await cluster.timer.advance(2_000);
  return cluster;
}

/** Waits until all daemons suspect a number of calls, and formats the time that this took. */
async function describeSpread(cluster: InProcessCluster, suspects: number): Promise<string> {
  const count = () =>
    cluster.members.filter(({ daemon }) => daemon.status.suspectedCalls === suspects).length;
  for (let elapsedMs = 0; elapsedMs <= LIMIT_MS; elapsedMs += STEP_MS) {
    if (count() === cluster.members.length) return `at all daemons within ${elapsedMs} ms`;
    await cluster.timer.advance(STEP_MS);
  }
  return `at ${count()} of ${cluster.members.length} daemons after ${LIMIT_MS} ms`;
}

function countBytes(cluster: InProcessCluster): number {
  return cluster.members.reduce((sum, { daemon }) => sum + daemon.status.linkBytesSent, 0);
}

function listWatchers(cluster: InProcessCluster, failureDomain: string): ClusterMember[] {
  return cluster.members.filter(
    ({ instance, daemon }) => instance.failureDomain === failureDomain && daemon.status.isWatcher,
  );
}

void t.test(
  'a crash is known to all daemons, also to those that restart, until it is cleared',
  async (t) => {
    const cluster = await startCluster();
    const seen: string[] = [];
    const bytesBefore = countBytes(cluster);
    const headers = [[POISON_HEADER, CrashStep.DuringRun]] as const;
    await cluster.callToCompletion('results-centro-a-4', { ...CRASHING_CALL, headers });
    seen.push(`crashed: ${await describeSpread(cluster, 1)}`);
    t.comment(`${countBytes(cluster) - bytesBefore} bytes sent by all daemons`);
    for (const { instance } of listWatchers(cluster, 'norte-a')) cluster.restartDaemon(instance.id);
    seen.push(`both watchers of a domain restarted: ${await describeSpread(cluster, 1)}`);
    for (const { instance } of cluster.members.filter((_, index) => index % 3 === 1))
      cluster.restartDaemon(instance.id);
    seen.push(`every third daemon restarted: ${await describeSpread(cluster, 1)}`);
    await cluster.callToCompletion('results-centro-a-4', CRASHING_CALL);
    seen.push(`answered once: ${await describeSpread(cluster, 1)}`);
    let calls = 1;
    while (cluster.member('results-norte-b-5').daemon.status.suspectedCalls > 0) {
      await cluster.callToCompletion('results-centro-a-4', CRASHING_CALL);
      await cluster.timer.advance(ANSWER_PERIOD_MS);
      calls += 1;
    }
    const elapsedS = ((calls * ANSWER_PERIOD_MS) / 1_000).toFixed(1);
    seen.push(`answered for ${elapsedS} s: cleared ${await describeSpread(cluster, 0)}`);
    t.matchSnapshot(seen, 'suspects');
  },
);
