import t from 'tap';
import { InProcessCluster, makeExampleConfiguration, makeExampleInstances } from '../fakes/mod.ts';

const DAEMONS_PER_DOMAIN = 4;
/** Time after a disruption within which all changes of before must be in force, in milliseconds. */
const STABLE_WINDOW_MS = 4_000;
/** Time after its publication within which a change must be in force, in milliseconds. */
const IN_FORCE_LIMIT_MS = 2_500;

function startCluster(): Promise<InProcessCluster> {
  const instances = makeExampleInstances(DAEMONS_PER_DOMAIN);
  return InProcessCluster.start({ configuration: makeExampleConfiguration(), instances });
}

function listOutdated(cluster: InProcessCluster, version: number): string[] {
  return cluster.members
    .filter(({ daemon }) => daemon.status.configurationVersion < version)
    .map(({ instance }) => instance.id);
}

void t.test('a change is in force in time after all open connections went silent', async (t) => {
  for (const calmMs of [0, 700, 1_900, 3_300, 4_600]) {
    const cluster = await startCluster();
    await cluster.timer.advance(calmMs);
    cluster.network.silenceConnections();
    cluster.platform.silenceReads();
    await cluster.timer.advance(1_000);
    cluster.platform.publish(makeExampleConfiguration({ version: 2 }));
    await cluster.timer.advance(STABLE_WINDOW_MS - 1_000);
    t.strictSame(listOutdated(cluster, 2), [], `silent after ${calmMs} ms of calm`);
  }
});

void t.test(
  'a change is in force in time while the platform turns the watchers of a domain away',
  async (t) => {
    for (const calmMs of [0, 1_500, 3_000]) {
      const cluster = await startCluster();
      await cluster.timer.advance(calmMs);
      for (const { instance, daemon } of cluster.members) {
        const isTurnedAway = daemon.status.isWatcher && instance.failureDomain === 'centro-a';
        if (isTurnedAway) cluster.refusedReaders.add(instance.id);
      }
      cluster.platform.silenceReads();
      await cluster.timer.advance(STABLE_WINDOW_MS);
      cluster.platform.publish(makeExampleConfiguration({ version: 2 }));
      await cluster.timer.advance(IN_FORCE_LIMIT_MS);
      t.strictSame(listOutdated(cluster, 2), [], `turned away after ${calmMs} ms of calm`);
    }
  },
);
