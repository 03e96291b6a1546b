import t from 'tap';
import { DocumentKind } from '../configuration/mod.ts';
import { EXAMPLE_DOMAINS, InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';

const LEAVING_ID = 'boards-4';
const SETTLE_MS = 2_000;

/** Leaves an instance out of a list, as a platform that pages its answers may. */
function without(text: string, id: string): string {
  const list = JSON.parse(text) as { instances: Record<string, unknown> };
  const kept = Object.entries(list.instances).filter(([each]) => each !== id);
  return JSON.stringify({ ...list, instances: Object.fromEntries(kept) });
}

void t.test('VersionSpread brings daemons with unlike lists of one version together', async (t) => {
  const world = await InProcessCluster.start({
    configuration: makeExampleConfiguration(),
    instances: EXAMPLE_DOMAINS.map((_, index) => ({
      pool: 'boards',
      failureDomain: 'centro-a',
      id: `boards-${index + 1}`,
    })),
  });
  let frames = 0;
  let isArmed = true;
  world.network.filter = ({ frame }) => {
    const isList = frame.kind === FrameKind.Document && frame.document === DocumentKind.Fleet;
    if (!isList) return [{ frame, delayMs: 0 }];
    frames += 1;
    if (!isArmed) return [{ frame, delayMs: 0 }];
    const text = frame.base === 0 ? without(frame.text, LEAVING_ID) : '[]';
    return [{ frame: { ...frame, text }, delayMs: 0 }];
  };
  const seen: string[] = [];
  const step = async (name: string) => {
    frames = 0;
    await world.timer.advance(SETTLE_MS);
    const fleets = world.members.map(({ daemon }) => daemon.status.fleetVersion);
    seen.push(`${name}: versions ${[...new Set(fleets)].join(',')}, frames ${frames}`);
  };
  world.addInstance({ pool: 'boards', failureDomain: 'centro-a', id: 'boards-5' });
  world.publishInstances();
  await step('followers get an unlike list');
  isArmed = false;
  world.stopDaemon('boards-5');
  world.members.pop();
  world.publishInstances();
  await step('the next list is a patch to another one');
  t.matchSnapshot(seen, 'versions and frames');
});
