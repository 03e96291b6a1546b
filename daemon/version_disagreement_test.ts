import t from 'tap';
import { Outcome } from '../contract/mod.ts';
import {
  PlatformState,
  InProcessCluster,
  makeExampleConfiguration,
  type ClusterCall,
  type ClusterCallResult,
} from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';
import type { ConfigurationDocument } from '../configuration/mod.ts';

/** One-way delay between failure domains, in milliseconds; a version can overtake a call in it. */
const DELAY_MS = 60;
/** Delay of documents to one daemon, in milliseconds; its peers get them earlier. */
const DOCUMENT_DELAY_MS = 400;
/** Time by which the entry has applied a version of the platform or of its watcher, in milliseconds. */
const APPLIED_AFTER_MS = 20;
const ENTRY_ID = 'halls-centro-a';
const CALLS: readonly ClusterCall[] = [
  { pathAndQuery: '/boards/3', deadlineMs: 1_500 },
  { method: 'POST', pathAndQuery: '/entries', body: '1-0', deadlineMs: 1_500 },
];
/** Reasons of refusals that blame the caller. */
const BLAMING_REASONS = ['unknown-route', 'unknown-workspace', 'outside-home-regions'];

/** Returns the example configuration with another pool for all routes. */
function makeConfiguration(version: number, pool: string): ConfigurationDocument {
  const example = makeExampleConfiguration({ version });
  const [first] = example.pools;
  const pools = ['boards', 'results', 'halls'].map((name) => ({ ...first, name }));
  const routes = example.routes.map((route) => ({ ...route, pool }));
  return { ...example, pools, routes } as ConfigurationDocument;
}

/** Starts an entry in one region, and both pools with their watchers in the other. */
function startCluster(): Promise<InProcessCluster> {
  const watchers = ['centro-a', 'norte-a'].flatMap((failureDomain) =>
    ['halls', 'halls-2', 'halls-3', 'halls-4'].map((id) => ({
      id: `${id}-${failureDomain}`,
      pool: 'halls',
      failureDomain,
    })),
  );
  const targets = ['boards', 'results'].map((pool) => ({ pool, failureDomain: 'norte-a' }));
  return InProcessCluster.start({
    configuration: makeConfiguration(1, 'boards'),
    instances: [...watchers, ...targets],
    delayMs: (from, to) => (from === to ? 1 : DELAY_MS),
  });
}

/** Delays documents to one daemon, which must not read the platform itself. */
function delayDocuments(cluster: InProcessCluster, id: string): void {
  const { instance, daemon } = cluster.member(id);
  if (daemon.status.isWatcher) throw new Error(`expected a follower, got the watcher "${id}"`);
  cluster.network.filter = ({ frame, to }) => {
    const isDelayed = frame.kind === FrameKind.Document && to === instance.peerAddress;
    return [{ frame, delayMs: isDelayed ? DOCUMENT_DELAY_MS : 0 }];
  };
}

function describe(
  { pathAndQuery: target }: ClusterCall,
  { outcome, text }: ClusterCallResult,
  cluster: InProcessCluster,
): string {
  return `${target}: ${outcome} ${outcome === Outcome.Answered ? '' : text} runs=${cluster.runs.get(target) ?? 0}`;
}

function blamesCaller(line: string): boolean {
  return BLAMING_REASONS.some((reason) => line.includes(reason));
}

void t.test(
  'a call is not refused as unknown when its route moves while it is in flight',
  async (t) => {
    const seen: string[] = [];
    for (const call of CALLS) {
      const cluster = await startCluster();
      const completion = cluster.call(ENTRY_ID, call);
      cluster.platform.publish(makeConfiguration(2, 'results'));
      seen.push(describe(call, await cluster.advanceUntil(completion), cluster));
    }
    t.strictSame(seen.filter(blamesCaller), [], 'refusals that blame the caller');
    t.matchSnapshot(seen, 'results');
  },
);

void t.test(
  'a call is not refused as unknown by a guard that lacks the newest version',
  async (t) => {
    const seen: string[] = [];
    for (const call of CALLS) {
      const cluster = await startCluster();
      delayDocuments(cluster, 'results-norte-a');
      cluster.platform.publish(makeConfiguration(2, 'results'));
      await cluster.timer.advance(APPLIED_AFTER_MS);
      seen.push(describe(call, await cluster.callToCompletion(ENTRY_ID, call), cluster));
    }
    t.strictSame(seen.filter(blamesCaller), [], 'refusals that blame the caller');
    t.matchSnapshot(seen, 'results');
  },
);

void t.test('a call is not refused as unknown by a guard that has just started', async (t) => {
  const seen: string[] = [];
  for (const call of CALLS) {
    const cluster = await startCluster();
    cluster.platform.setState(PlatformState.Down);
    cluster.restartDaemon('boards-norte-a');
    seen.push(describe(call, await cluster.callToCompletion(ENTRY_ID, call), cluster));
  }
  t.strictSame(seen.filter(blamesCaller), [], 'refusals that blame the caller');
  t.matchSnapshot(seen, 'results');
});
