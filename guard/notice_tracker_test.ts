import t from 'tap';
import { MemoryLog } from '../event_log/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import {
  NO_STATEMENT,
  NoticeSource,
  NoticeTracker,
  StatedRateKind,
  type ReceivedStatement,
  type TargetStatement,
} from './mod.ts';

const TARGET_ID = 'i-1';
const NAMED: TargetStatement = {
  ...NO_STATEMENT,
  rate: { kind: StatedRateKind.Named, perSecond: 4 },
};
const MALFORMED: TargetStatement = {
  ...NO_STATEMENT,
  rate: { kind: StatedRateKind.Malformed, text: 'soon' },
};
const LEAVING: TargetStatement = { ...NO_STATEMENT, isLeaving: true };
/** Times at which an answer was asked for, in milliseconds; answers arrive 10 ms apart from 100 on. */
const EARLY_MS = 5;
const LATE_MS = 105;

type Step = ReceivedStatement | { peer: string };

function answer(statement: TargetStatement, sentAtMs = EARLY_MS): Step {
  return { statement, sentAtMs, source: NoticeSource.Answer };
}

function report(statement: TargetStatement, sentAtMs = EARLY_MS, isHealthy = true): Step {
  return { statement, sentAtMs, source: NoticeSource.Probe, isHealthy };
}

const CASES: Record<string, Step[]> = {
  'a later answer without a rate': [answer(NAMED), answer(NO_STATEMENT, LATE_MS)],
  'an overtaken answer without a rate': [answer(NAMED), answer(NO_STATEMENT)],
  'a later malformed rate': [answer(NAMED), answer(MALFORMED, LATE_MS)],
  'a later shed call without a rate': [
    answer(NAMED),
    { statement: NO_STATEMENT, sentAtMs: LATE_MS, source: NoticeSource.Shed },
  ],
  'a later healthy report after leaving': [answer(LEAVING), report(NO_STATEMENT, LATE_MS)],
  'an overtaken healthy report after leaving': [answer(LEAVING), report(NO_STATEMENT)],
  'a later unhealthy report after leaving': [answer(LEAVING), report(NO_STATEMENT, LATE_MS, false)],
  'a later answer after leaving': [answer(LEAVING), answer(NO_STATEMENT, LATE_MS)],
  "a peer's notice": [{ peer: TARGET_ID }],
  "a peer's notice of another process": [{ peer: 'i-0' }],
  "a peer's notice after the target's word": [answer(NO_STATEMENT), { peer: TARGET_ID }],
  "the target's word after a peer's notice": [{ peer: TARGET_ID }, report(NO_STATEMENT, LATE_MS)],
  "an overtaken word after a peer's notice": [{ peer: TARGET_ID }, report(NO_STATEMENT)],
  "a malformed rate after a peer's notice": [{ peer: TARGET_ID }, answer(MALFORMED, LATE_MS)],
};

void t.test(
  'NoticeTracker.record() ends a notice only with later word of the target',
  async (t) => {
    const seen: string[] = [];
    for (const [name, steps] of Object.entries(CASES)) {
      const timer = new VirtualTimer();
      const tracker = new NoticeTracker({
        timer,
        log: new MemoryLog(10),
        getTargetId: () => TARGET_ID,
        onChange: () => undefined,
      });
      await timer.advance(100);
      for (const step of steps) {
        if ('peer' in step) {
          tracker.recordPeerNotice({ targetId: step.peer, maxCallsPerSecond: 4, isLeaving: true });
        } else {
          tracker.record(step);
        }
        await timer.advance(10);
      }
      const { maxCallsPerSecond = 'any', isLeaving = false } = tracker.notice ?? {};
      seen.push(`${name}: ${maxCallsPerSecond} calls a second${isLeaving ? ', leaving' : ''}`);
    }
    t.matchSnapshot(seen, 'notices');
  },
);
