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

/** One way between failure domains; a version passes a call on its way in this time. */
const DELAY_MS = 60;
/** Time for which a daemon does not get a version that its peers have. */
const HELD_MS = 400;
/** Time in which the entry learns a version from the platform or its watcher. */
const LEARNED_MS = 20;
const ENTRY_ID = 'halls-centro-a';
const CALLS: readonly ClusterCall[] = [
  { pathAndQuery: '/boards/3', deadlineMs: 1_500 },
  { method: 'POST', pathAndQuery: '/entries', body: '1-0', deadlineMs: 1_500 },
];
/** Refusals that tell a caller that its call is wrong. */
const BLAMING = ['unknown-route', 'unknown-workspace', 'outside-home-regions'];

/** The example with another pool for all calls. */
function configurationWith(version: number, pool: string): ConfigurationDocument {
  const example = makeExampleConfiguration({ version });
  const [first] = example.pools;
  const pools = ['boards', 'results', 'halls'].map((name) => ({ ...first, name }));
  const routes = example.routes.map((route) => ({ ...route, pool }));
  return { ...example, pools, routes } as ConfigurationDocument;
}

/** An entry in one region; both pools in the other, with daemons that watch for them. */
function startWorld(): Promise<InProcessCluster> {
  const watchers = ['centro-a', 'norte-a'].flatMap((failureDomain) =>
    ['halls', 'halls-2', 'halls-3', 'halls-4'].map((id) => ({
      id: `${id}-${failureDomain}`,
      pool: 'halls',
      failureDomain,
    })),
  );
  const targets = ['boards', 'results'].map((pool) => ({ pool, failureDomain: 'norte-a' }));
  return InProcessCluster.start({
    configuration: configurationWith(1, 'boards'),
    instances: [...watchers, ...targets],
    delayMs: (from, to) => (from === to ? 1 : DELAY_MS),
  });
}

/** Keeps documents from one daemon, which must not read the platform itself. */
function holdDocuments(world: InProcessCluster, id: string): void {
  const { instance, daemon } = world.member(id);
  if (daemon.status.isWatcher) throw new Error(`expected a follower, got the watcher "${id}"`);
  world.network.filter = ({ frame, to }) => {
    const isHeld = frame.kind === FrameKind.Document && to === instance.peerAddress;
    return [{ frame, delayMs: isHeld ? HELD_MS : 0 }];
  };
}

function describe(
  { pathAndQuery: target }: ClusterCall,
  { outcome, text }: ClusterCallResult,
  world: InProcessCluster,
): string {
  return `${target}: ${outcome} ${outcome === Outcome.Answered ? '' : text} runs=${world.runs.get(target) ?? 0}`;
}

function blamesCaller(line: string): boolean {
  return BLAMING.some((reason) => line.includes(reason));
}

void t.test('a call is not refused as unknown when its route moves under way', async (t) => {
  const seen: string[] = [];
  for (const call of CALLS) {
    const world = await startWorld();
    const end = world.call(ENTRY_ID, call);
    world.platform.publish(configurationWith(2, 'results'));
    seen.push(describe(call, await world.advanceUntil(end), world));
  }
  t.strictSame(seen.filter(blamesCaller), [], 'refusals that blame the caller');
  t.matchSnapshot(seen, 'ends');
});

void t.test('a call is not refused as unknown by a guard that lacks a version', async (t) => {
  const seen: string[] = [];
  for (const call of CALLS) {
    const world = await startWorld();
    holdDocuments(world, 'results-norte-a');
    world.platform.publish(configurationWith(2, 'results'));
    await world.timer.advance(LEARNED_MS);
    seen.push(describe(call, await world.callToCompletion(ENTRY_ID, call), world));
  }
  t.strictSame(seen.filter(blamesCaller), [], 'refusals that blame the caller');
  t.matchSnapshot(seen, 'ends');
});

void t.test('a call is not refused as unknown by a guard that has just started', async (t) => {
  const seen: string[] = [];
  for (const call of CALLS) {
    const world = await startWorld();
    world.platform.setState(PlatformState.Down);
    world.restartDaemon('boards-norte-a');
    seen.push(describe(call, await world.callToCompletion(ENTRY_ID, call), world));
  }
  t.strictSame(seen.filter(blamesCaller), [], 'refusals that blame the caller');
  t.matchSnapshot(seen, 'ends');
});
