import t from 'tap';
import { VirtualTimer } from '../timer/mod.ts';
import { StallDetector } from './mod.ts';

void t.test(
  'StallDetector ends a silent link while answers are awaited, and leaves others alone',
  async (t) => {
    const seen: string[] = [];
    const play = async (name: string, options: { waitsMs: number; pongs: boolean }) => {
      const timer = new VirtualTimer();
      let pings = 0;
      let stalledAtMs: number | undefined;
      const watch = new StallDetector(timer, {
        isWaiting: () => timer.now() < options.waitsMs,
        ping: () => {
          pings += 1;
          if (options.pongs) watch.recordReceived();
        },
        onStalled: () => {
          stalledAtMs = timer.now();
          watch.close();
        },
      });
      watch.start();
      await timer.advance(5_000);
      seen.push(`${name}: ${pings} pings, stalled at ${stalledAtMs ?? 'no'} ms`);
    };
    await play('silent', { waitsMs: 4_000, pongs: false });
    await play('slow but alive', { waitsMs: 4_000, pongs: true });
    await play('answered soon', { waitsMs: 150, pongs: false });
    t.matchSnapshot(seen, 'links');
  },
);
