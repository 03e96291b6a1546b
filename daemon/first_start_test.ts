import t from 'tap';
import { InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';

const WAIT_MS = 10_000;

void t.test(
  'daemon.start() waits for the first configuration of the platform with few reads',
  async (t) => {
    const cluster = await InProcessCluster.start({
      configuration: { ...makeExampleConfiguration(), version: 0 },
      instances: [{ pool: 'boards', failureDomain: 'centro-a' }],
    });
    await cluster.timer.advance(WAIT_MS);
    const seen = [
      `after ${WAIT_MS} ms without a configuration: at most 10 reads ${cluster.platform.reads <= 10}`,
    ];
    cluster.platform.publish(makeExampleConfiguration());
    await cluster.timer.advance(100);
    const { daemon } = cluster.member('boards-centro-a');
    seen.push(
      `100 ms after the first configuration: ${daemon.stage}, version ${daemon.status.configurationVersion}`,
    );
    t.matchSnapshot(seen, 'stages');
  },
);
