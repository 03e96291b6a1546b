import t from 'tap';
import {
  EXAMPLE_DOMAINS,
  InProcessCluster,
  makeExampleConfiguration,
  type ClusterCall,
} from '../fakes/mod.ts';

const DELAY_MS = 10;
const SERVICE_MS = 5;
const WARM_UP_CALLS = 20;

function sumLinkBytes(cluster: InProcessCluster): number {
  return cluster.members.reduce((sum, { daemon }) => sum + daemon.status.linkBytesSent, 0);
}

async function startCluster(): Promise<InProcessCluster> {
  const instances = ['boards', 'results'].flatMap((pool) =>
    EXAMPLE_DOMAINS.map((failureDomain) => ({ pool, failureDomain })),
  );
  return InProcessCluster.start({
    configuration: makeExampleConfiguration(),
    instances,
    delayMs: (from, to) => (from === to ? 0 : DELAY_MS),
    serviceMs: () => SERVICE_MS,
  });
}

/** Measures the virtual time and the link bytes of one step, without the traffic of an idle fleet. */
async function measure(cluster: InProcessCluster, act: () => Promise<unknown>): Promise<string> {
  const [startMs, startBytes] = [cluster.timer.now(), sumLinkBytes(cluster)];
  await act();
  const elapsedMs = cluster.timer.now() - startMs;
  return `${elapsedMs} ms, ${sumLinkBytes(cluster) - startBytes} bytes on links`;
}

void t.test(
  'an idempotency key costs a round trip only if the caller has no spare key',
  async (t) => {
    const cluster = await startCluster();
    const entry = 'boards-centro-a';
    const read: ClusterCall = { pathAndQuery: '/boards/1', runId: 'read-1' };
    const post: ClusterCall = {
      method: 'POST',
      pathAndQuery: '/results',
      body: '1-0',
      runId: 'post-1',
    };
    let key = (await cluster.callToCompletion(entry, post)).nextKey;
    const postWith = async (id: string) => {
      key = (await cluster.callToCompletion(id, { ...post, key })).nextKey;
    };
    for (let call = 0; call < WARM_UP_CALLS; call += 1) {
      await cluster.callToCompletion(entry, read);
      await postWith(entry);
    }
    const seen = [
      `idempotent call: ${await measure(cluster, () => cluster.callToCompletion(entry, read))}`,
      `with a spare key: ${await measure(cluster, () => postWith(entry))}`,
      `requesting a key first: ${await measure(cluster, () => cluster.callToCompletion(entry, post))}`,
      `with a key owned elsewhere: ${await measure(cluster, () => postWith('boards-norte-a'))}`,
    ];
    t.matchSnapshot(seen, 'time and bytes');
  },
);
