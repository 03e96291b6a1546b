import t from 'tap';
import { VirtualTimer } from '../timer/mod.ts';
import { SlowdownTracker } from './mod.ts';

void t.test('targetPace.isTooSlowFor() holds only where the usual speed would do', (t) => {
  const pace = new SlowdownTracker(new VirtualTimer());
  const ask = (slowdown: number, leftMs: number) => {
    pace.recordReport({ running: 0, waiting: 0, slots: 6, slowdown });
    return `slowdown ${slowdown}, ${leftMs} ms left: ${String(pace.isTooSlowFor('read', leftMs))}`;
  };
  const seen = [`never seen: ${ask(4, 150)}`];
  pace.recordExecution('read', 50);
  seen.push(ask(1, 150), ask(4, 150), ask(4, 300), ask(4, 40), ask(1.2, 55));
  t.matchSnapshot(seen, 'answers');
  t.end();
});
