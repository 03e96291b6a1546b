import t from 'tap';
import { VirtualTimer } from '../timer/mod.ts';
import { StallDetector } from './mod.ts';

void t.test(
  'StallDetector reports a silent link while answers are awaited, and no other link',
  async (t) => {
    const results: string[] = [];
    const runLink = async (name: string, options: { waitsMs: number; pongs: boolean }) => {
      const timer = new VirtualTimer();
      let pings = 0;
      let stalledAtMs: number | undefined;
      const detector = new StallDetector(timer, {
        isWaiting: () => timer.now() < options.waitsMs,
        ping: () => {
          pings += 1;
          if (options.pongs) detector.recordReceived();
        },
        onStalled: () => {
          stalledAtMs = timer.now();
          detector.close();
        },
      });
      detector.start();
      await timer.advance(5_000);
      results.push(`${name}: ${pings} pings, stalled at ${stalledAtMs ?? 'no'} ms`);
    };
    await runLink('silent', { waitsMs: 4_000, pongs: false });
    await runLink('slow but alive', { waitsMs: 4_000, pongs: true });
    await runLink('answered soon', { waitsMs: 150, pongs: false });
    t.matchSnapshot(results, 'links');
  },
);
