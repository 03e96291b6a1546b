import t from 'tap';
import { InProcessCluster, makeExampleConfiguration } from '../fakes/mod.ts';

const ENTRY_ID = 'boards-centro-a';
/** One-way delay between failure domains, in milliseconds; opening a link takes several of them. */
const DELAY_MS = 100;
const DISCONNECT_AFTER_MS = 50;

void t.test(
  'daemon.serve() sends no attempt for a caller that disconnected while a link was being opened',
  async (t) => {
    const seen: string[] = [];
    for (const target of ['/boards/3', '/entries']) {
      const cluster = await InProcessCluster.start({
        configuration: makeExampleConfiguration(),
        instances: [
          { pool: 'boards', failureDomain: 'centro-a' },
          { pool: 'boards', failureDomain: 'norte-a' },
          { pool: 'results', failureDomain: 'norte-b' },
        ],
        delayMs: () => DELAY_MS,
      });
      cluster.member(ENTRY_ID).target.isUp = target === '/entries';
      // Closes the links that the daemon opened when it started.
      cluster.network.breakConnections(cluster.member(ENTRY_ID).instance.peerAddress);
      await cluster.timer.advance(1);
      const caller = new AbortController();
      const method = target === '/entries' ? 'POST' : 'GET';
      const completion = cluster.call(ENTRY_ID, {
        method,
        pathAndQuery: target,
        caller,
        deadlineMs: 2_000,
      });
      await cluster.timer.advance(DISCONNECT_AFTER_MS);
      caller.abort();
      const { outcome, text } = await cluster.advanceUntil(completion);
      await cluster.timer.advance(1_000);
      seen.push(`${method} ${target}: ${outcome} ${text}, runs ${cluster.runs.get(target) ?? 0}`);
    }
    t.matchSnapshot(seen, 'results');
  },
);
