import t from 'tap';
import { InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';
import type { ConfigurationDocument } from '../configuration/mod.ts';

const ENTRY_ID = 'halls-centro-a';
/** Delay of documents to the entry, in milliseconds; longer than it waits for a known version. */
const DOCUMENT_DELAY_MS = 5_000;

function makeConfiguration(version: number, paths: readonly string[]): ConfigurationDocument {
  const example = makeExampleConfiguration({ version });
  const [first] = example.pools;
  const pools = ['boards', 'halls'].map((name) => ({ ...first, name }));
  const [board] = example.routes;
  const routes = paths.map((path) => ({
    ...board,
    name: `read-${path.slice(1)}`,
    path,
    pool: 'boards',
  }));
  return { ...example, pools, routes } as ConfigurationDocument;
}

function startCluster(): Promise<InProcessCluster> {
  const watchers = ['halls', 'halls-2', 'halls-3', 'halls-4'].map((id) => ({
    id: `${id}-centro-a`,
    pool: 'halls',
    failureDomain: 'centro-a',
  }));
  return InProcessCluster.start({
    configuration: makeConfiguration(1, ['/boards']),
    instances: [...watchers, { pool: 'boards', failureDomain: 'norte-a' }],
    delayMs: (from, to) => (from === to ? 1 : 20),
  });
}

void t.test(
  'an entry does not refuse a route as unknown while peers have a newer version',
  async (t) => {
    const cluster = await startCluster();
    const { instance, daemon } = cluster.member(ENTRY_ID);
    t.notOk(daemon.status.isWatcher, 'a follower');
    cluster.network.filter = ({ frame, to }) => {
      const isDelayed = frame.kind === FrameKind.Document && to === instance.peerAddress;
      return [{ frame, delayMs: isDelayed ? DOCUMENT_DELAY_MS : 0 }];
    };
    cluster.platform.publish(makeConfiguration(2, ['/boards', '/added']));
    await cluster.timer.advance(300);
    // The answer of a peer carries the newer version.
    const known = await cluster.callToCompletion(ENTRY_ID, {
      pathAndQuery: '/boards/1',
      deadlineMs: 1_500,
    });
    const startMs = cluster.timer.now();
    const { text } = await cluster.callToCompletion(ENTRY_ID, {
      pathAndQuery: '/added/1',
      deadlineMs: 1_500,
    });
    t.matchSnapshot(
      [known.outcome, `${text} after ${cluster.timer.now() - startMs} ms`],
      'results',
    );
  },
);

void t.test(
  'an entry waits once per call for a version that does not arrive, not once per guard',
  async (t) => {
    const example = makeConfiguration(1, ['/boards']);
    const cluster = await InProcessCluster.start({
      configuration: example,
      instances: [
        ...['halls', 'halls-2', 'halls-3', 'halls-4'].map((id) => ({
          id: `${id}-centro-a`,
          pool: 'halls',
          failureDomain: 'centro-a',
        })),
        ...['boards', 'boards-2', 'boards-3', 'boards-4'].map((id) => ({
          id: `${id}-norte-a`,
          pool: 'boards',
          failureDomain: 'norte-a',
        })),
      ],
      delayMs: (from, to) => (from === to ? 1 : 20),
    });
    const { instance, daemon } = cluster.member(ENTRY_ID);
    t.notOk(daemon.status.isWatcher, 'a follower');
    cluster.network.filter = ({ frame, to }) => {
      const isDelayed = frame.kind === FrameKind.Document && to === instance.peerAddress;
      return [{ frame, delayMs: isDelayed ? DOCUMENT_DELAY_MS : 0 }];
    };
    const routes = example.routes.map((route) => ({ ...route, pool: 'halls' }));
    cluster.platform.publish({ ...example, routes, version: 2 });
    await cluster.timer.advance(300);
    const startMs = cluster.timer.now();
    const { text } = await cluster.callToCompletion(ENTRY_ID, {
      pathAndQuery: '/boards/1',
      deadlineMs: 4_000,
    });
    t.matchSnapshot(`${text} after ${cluster.timer.now() - startMs} ms`, 'one wait');
  },
);
