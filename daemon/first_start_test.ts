import t from 'tap';
import { InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';

const WAIT_MS = 10_000;

void t.test(
  'daemon.start() waits for the first configuration of the platform with few reads',
  async (t) => {
    const world = await InProcessCluster.start({
      configuration: { ...makeExampleConfiguration(), version: 0 },
      instances: [{ pool: 'boards', failureDomain: 'centro-a' }],
    });
    await world.timer.advance(WAIT_MS);
    const seen = [
      `after ${WAIT_MS} ms without a configuration: at most 10 reads ${world.platform.reads <= 10}`,
    ];
    world.platform.publish(makeExampleConfiguration());
    await world.timer.advance(100);
    const { daemon } = world.member('boards-centro-a');
    seen.push(
      `100 ms after the first configuration: ${daemon.stage}, version ${daemon.status.configurationVersion}`,
    );
    t.matchSnapshot(seen, 'stages');
  },
);
