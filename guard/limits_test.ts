import t from 'tap';
import { MemoryLog } from '../event_log/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { LimitKind, Quarantine, WarmUp, makeLimit } from './mod.ts';

void t.test('limit.record() adapts to a target that slows down and recovers', (t) => {
  for (const kind of Object.values(LimitKind)) {
    const limit = makeLimit(kind, 12);
    const seen: string[] = [];
    for (const elapsedMs of [5, 5, 50, 50, 5, 5]) {
      for (let answer = 0; answer < 20; answer += 1) {
        limit.record({ elapsedMs, inFlight: limit.current, succeeded: true });
      }
      seen.push(`${elapsedMs} ms: ${limit.current}`);
    }
    t.matchSnapshot(seen, kind);
  }
  t.end();
});

void t.test('warmUp.recordAnswer() raises the cold limit only for answers in time', (t) => {
  const timer = new VirtualTimer();
  const warmUp = new WarmUp(timer, () => ({ coldSlots: 1, coldMs: 1_000 }));
  for (let answer = 0; answer < 9; answer += 1) warmUp.recordAnswer(true, 6);
  const early = warmUp.getLimit(6, 0);
  timer.jump(1_000);
  const seen = [true, true, true, true, true, true, true, true, true, false, true].map((inTime) => {
    warmUp.recordAnswer(inTime, 6);
    return `${inTime ? 'in time' : 'late'}: ${warmUp.getLimit(6, 0)}`;
  });
  warmUp.restart();
  t.matchSnapshot(
    [`during the cold time: ${early}`, ...seen, `restarted: ${warmUp.getLimit(6, 0)}`],
    'limits',
  );
  t.end();
});

void t.test(
  'quarantine.recordCrash() blocks only fingerprints without recent answers',
  async (t) => {
    const timer = new VirtualTimer();
    const quarantine = new Quarantine(timer, new MemoryLog(8));
    const seen: string[] = [];
    const recordBlocked = (name: string) => {
      const blocked = ['poison', 'neighbour', 'popular'].filter((each) =>
        quarantine.isBlocked(each),
      );
      seen.push(`${name}: ${blocked.join(',') || 'none'} blocked`);
    };
    quarantine.recordAnswer('popular');
    for (const instance of ['a', 'a', 'b']) {
      for (const each of ['poison', 'popular']) quarantine.recordCrash(each, instance);
      if (instance === 'a') quarantine.recordCrash('neighbour', 'a');
      recordBlocked(`crash of ${instance}`);
    }
    quarantine.recordAnswer('neighbour');
    quarantine.recordCrash('neighbour', 'b');
    recordBlocked('the neighbour was answered in between');
    await timer.advance(61_000);
    recordBlocked('a minute later');
    t.matchSnapshot(seen, 'blocked');
  },
);
