import t from 'tap';
import {
  CrashStep,
  EXAMPLE_DOMAINS,
  InProcessCluster,
  NetworkPathState,
  POISON_HEADER,
  makeExampleConfiguration,
  makeExampleInstances,
  type ClusterMember,
} from '../fakes/mod.ts';
import { InstanceStage, type Instance } from '../instance/mod.ts';

const DAEMONS_PER_DOMAIN = 4;
const DOMAIN = 'centro-a';
/** Time after its publication within which a change must be in force, in milliseconds. */
const IN_FORCE_LIMIT_MS = 2_500;
/** Time within which all daemons must know of a crash, in milliseconds. */
const REPORT_LIMIT_MS = 4_000;
const SETTLE_MS = 8_000;
/** Moments at which the watchers go away, relative to their watches, in milliseconds. */
const MOMENTS_MS = [0, 300, 700, 1_100, 1_900, 3_300];
const CRASHING_CALL = { pathAndQuery: '/halls/9', deadlineMs: 400 };

function startCluster(): Promise<InProcessCluster> {
  const instances = makeExampleInstances(DAEMONS_PER_DOMAIN);
  const configuration = makeExampleConfiguration();
  const quarantine = { coincidences: 8, blockMs: 60_000 };
  return InProcessCluster.start({ configuration, instances, settings: { quarantine } });
}

function listWatchers({ members }: InProcessCluster): ClusterMember[] {
  return members.filter(
    ({ instance, daemon }) => instance.failureDomain === DOMAIN && daemon.status.isWatcher,
  );
}

/** Lists instances that no daemon runs on, as entries of another writer do. */
function makeForeignInstances(): Instance[] {
  return EXAMPLE_DOMAINS.flatMap((failureDomain) =>
    [1, 2, 3, 4].map((index) => ({
      id: `archive-${failureDomain}-${index}`,
      pool: 'archive',
      failureDomain,
      peerAddress: `archive-${failureDomain}-${index}@${failureDomain}`,
      callerAddress: `archive-${failureDomain}-${index}@${failureDomain}`,
      stage: InstanceStage.Live,
    })),
  );
}

function listForeignInstances(cluster: InProcessCluster): void {
  const own = cluster.members.map(({ instance }) => instance);
  cluster.platform.setInstances([...own, ...makeForeignInstances()]);
}

function setPaths(cluster: InProcessCluster, state: NetworkPathState): void {
  for (const watcher of listWatchers(cluster))
    for (const { instance } of cluster.members)
      cluster.network.setPathState(watcher.instance.peerAddress, instance.peerAddress, state);
}

/** Ways in which the watchers of a failure domain go away; each returns the daemons that it disturbs. */
const ABSENCES: Record<string, (cluster: InProcessCluster) => readonly ClusterMember[]> = {
  'watchers are suspended': (cluster) => {
    const watchers = listWatchers(cluster);
    for (const { clock } of watchers) clock.pause();
    return watchers;
  },
  'watchers end and stay listed': (cluster) => {
    const watchers = listWatchers(cluster);
    for (const { instance } of watchers) cluster.stopDaemon(instance.id);
    return watchers;
  },
  'links of watchers are cut': (cluster) => {
    setPaths(cluster, NetworkPathState.Cut);
    return listWatchers(cluster);
  },
  'links of watchers go silent': (cluster) => {
    setPaths(cluster, NetworkPathState.Silent);
    return listWatchers(cluster);
  },
  'the platform turns watchers away': (cluster) => {
    const watchers = listWatchers(cluster);
    for (const { instance } of watchers) cluster.refusedReaders.add(instance.id);
    cluster.platform.silenceReads();
    return watchers;
  },
  'entries without daemons are listed': (cluster) => {
    listForeignInstances(cluster);
    return [];
  },
};

/** Lists the undisturbed daemons that do not know what they have to know. */
function describeUnaware(
  { members }: InProcessCluster,
  disturbed: readonly ClusterMember[],
  isUnaware: (status: ClusterMember['daemon']['status']) => boolean,
): string {
  const unaware = members
    .filter((member) => !disturbed.includes(member) && isUnaware(member.daemon.status))
    .map(({ instance }) => instance.id);
  return unaware.join(', ') || 'none';
}

function isOutdated({ configurationVersion }: ClusterMember['daemon']['status']): boolean {
  return configurationVersion < 2;
}

// Guards against daemons that go on under an old version because both of their watchers are away.
void t.test('a change is in force in time while the watchers of a domain are away', async (t) => {
  for (const [name, cause] of Object.entries(ABSENCES)) {
    const seen: string[] = [];
    for (const momentMs of MOMENTS_MS) {
      const cluster = await startCluster();
      await cluster.timer.advance(momentMs);
      const disturbed = cause(cluster);
      cluster.platform.publish(makeExampleConfiguration({ version: 2 }));
      await cluster.timer.advance(IN_FORCE_LIMIT_MS);
      seen.push(`${momentMs} ms: outdated ${describeUnaware(cluster, disturbed, isOutdated)}`);
    }
    t.matchSnapshot(seen, name);
  }
});

// Guards against a domain that nobody watches because its list begins with entries without daemons.
void t.test('entries without daemons delay no change', async (t) => {
  const seen: string[] = [];
  for (const momentMs of MOMENTS_MS) {
    const cluster = await startCluster();
    listForeignInstances(cluster);
    await cluster.timer.advance(SETTLE_MS + momentMs);
    const readsBefore = cluster.platform.reads;
    await cluster.timer.advance(SETTLE_MS);
    const readsPerSecond = ((cluster.platform.reads - readsBefore) * 1_000) / SETTLE_MS;
    t.comment(`${readsPerSecond} reads a second of ${cluster.members.length} daemons`);
    cluster.platform.publish(makeExampleConfiguration({ version: 2 }));
    await cluster.timer.advance(100);
    seen.push(`${momentMs} ms: outdated after 100 ms: ${describeUnaware(cluster, [], isOutdated)}`);
  }
  t.matchSnapshot(seen, 'outdated');
});

// Guards against calls that go on to crash targets at daemons whose watchers are away.
void t.test('a crash is known in time while the watchers of a domain are away', async (t) => {
  for (const [name, cause] of Object.entries(ABSENCES)) {
    const seen: string[] = [];
    for (const momentMs of MOMENTS_MS) {
      const cluster = await startCluster();
      await cluster.timer.advance(momentMs);
      const disturbed = cause(cluster);
      const headers = [[POISON_HEADER, CrashStep.DuringRun]] as const;
      await cluster.callToCompletion('boards-norte-a-0', { ...CRASHING_CALL, headers });
      await cluster.timer.advance(REPORT_LIMIT_MS);
      const unaware = describeUnaware(
        cluster,
        disturbed,
        ({ suspectedCalls }) => suspectedCalls === 0,
      );
      seen.push(`${momentMs} ms: unaware ${unaware}`);
    }
    t.matchSnapshot(seen, name);
  }
});
