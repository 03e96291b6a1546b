import t from 'tap';
import { VirtualTimer } from '../timer/mod.ts';
import { SlowdownTracker } from './mod.ts';

void t.test(
  'tracker.isTooSlowFor() reports only calls that would complete without the slowdown',
  (t) => {
    const tracker = new SlowdownTracker(new VirtualTimer());
    const check = (slowdown: number, leftMs: number) => {
      tracker.recordReport({ running: 0, waiting: 0, slots: 6, slowdown });
      return `slowdown ${slowdown}, ${leftMs} ms left: ${String(tracker.isTooSlowFor('read', leftMs))}`;
    };
    const seen = [`no execution yet: ${check(4, 150)}`];
    tracker.recordExecution('read', 50);
    seen.push(check(1, 150), check(4, 150), check(4, 300), check(4, 40), check(1.2, 55));
    t.matchSnapshot(seen, 'results');
    t.end();
  },
);
