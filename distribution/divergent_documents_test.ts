import t from 'tap';
import { DocumentKind } from '../configuration/mod.ts';
import { EXAMPLE_DOMAINS, InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';

const OMITTED_ID = 'boards-4';
const SETTLE_MS = 2_000;

/** Omits an instance from a list, as may happen at a platform that pages its answers. */
function omitInstance(text: string, id: string): string {
  const list = JSON.parse(text) as { instances: Record<string, unknown> };
  const kept = Object.entries(list.instances).filter(([each]) => each !== id);
  return JSON.stringify({ ...list, instances: Object.fromEntries(kept) });
}

void t.test(
  'DocumentDistributor reconciles daemons with different lists of one version',
  async (t) => {
    const cluster = await InProcessCluster.start({
      configuration: makeExampleConfiguration(),
      instances: EXAMPLE_DOMAINS.map((_, index) => ({
        pool: 'boards',
        failureDomain: 'centro-a',
        id: `boards-${index + 1}`,
      })),
    });
    let frames = 0;
    let isDivergent = true;
    cluster.network.filter = ({ frame }) => {
      const isList = frame.kind === FrameKind.Document && frame.document === DocumentKind.Fleet;
      if (!isList) return [{ frame, delayMs: 0 }];
      frames += 1;
      if (!isDivergent) return [{ frame, delayMs: 0 }];
      const text = frame.base === 0 ? omitInstance(frame.text, OMITTED_ID) : '[]';
      return [{ frame: { ...frame, text }, delayMs: 0 }];
    };
    const seen: string[] = [];
    const step = async (name: string) => {
      frames = 0;
      await cluster.timer.advance(SETTLE_MS);
      const fleets = cluster.members.map(({ daemon }) => daemon.status.fleetVersion);
      seen.push(`${name}: versions ${[...new Set(fleets)].join(',')}, frames ${frames}`);
    };
    cluster.addInstance({ pool: 'boards', failureDomain: 'centro-a', id: 'boards-5' });
    cluster.publishInstances();
    await step('followers get a different list of the same version');
    isDivergent = false;
    cluster.stopDaemon('boards-5');
    cluster.members.pop();
    cluster.publishInstances();
    await step('the next list is a patch to a list that followers lack');
    t.matchSnapshot(seen, 'versions and frames');
  },
);
