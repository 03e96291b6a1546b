import t from 'tap';
import { MemoryLog } from '../event_log/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { EvidenceKind, LimitKind, Quarantine, WarmUp, makeLimit } from './mod.ts';

/** Time between two pieces of evidence, in milliseconds; crashes closer to each other count once. */
const INTERVAL_MS = 100;

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
  'quarantine.record() blocks fingerprints whose crashes outweigh their answers',
  async (t) => {
    const timer = new VirtualTimer();
    const quarantine = new Quarantine(timer, new MemoryLog(8));
    const names = ['poison', 'mixed', 'popular', 'neighbour'];
    const seen: string[] = [];
    const record = async (kind: EvidenceKind, id: string, fingerprints: readonly string[]) => {
      const counted = fingerprints.filter((fingerprint) =>
        quarantine.record({ fingerprint, kind, id, ageMs: 0 }),
      );
      const blocked = names.filter((each) => quarantine.isBlocked(each));
      seen.push(`${kind} ${id}: counted ${counted.join(',')}; blocked ${blocked.join(',')}`);
      await timer.advance(INTERVAL_MS);
    };
    await record(EvidenceKind.Answer, 'before any crash', ['popular']);
    for (const id of ['a', 'a', 'b']) {
      await record(EvidenceKind.Crash, id, id === 'a' ? names : ['poison', 'mixed', 'popular']);
      for (let answer = 0; answer < 10; answer += 1)
        await record(
          EvidenceKind.Answer,
          `${id}${answer}`,
          answer < 5 ? ['mixed', 'popular'] : ['popular'],
        );
    }
    await record(EvidenceKind.Crash, 'c', ['mixed', 'popular']);
    await record(EvidenceKind.Crash, 'd', ['mixed', 'popular']);
    await record(EvidenceKind.Answer, 'of a call that was running', ['mixed', 'popular']);
    await timer.advance(61_000);
    await record(EvidenceKind.Crash, 'a minute later', ['poison', 'neighbour']);
    await record(EvidenceKind.Crash, 'e', ['popular']);
    await record(EvidenceKind.Crash, 'f', ['popular']);
    t.matchSnapshot(seen, 'blocked');
  },
);
