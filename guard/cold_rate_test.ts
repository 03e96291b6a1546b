import t from 'tap';
import { VirtualTimer } from '../timer/mod.ts';
import { WarmUp } from './mod.ts';

const SLOTS = 6;
const STEP_MS = 20;
const COLD_PER_SECOND = 8.6;

void t.test(
  'warmUp.getLimit() limits the rate of a cold target until it reports that it is warm',
  async (t) => {
    const timer = new VirtualTimer();
    const warmUp = new WarmUp(timer, () => ({
      coldSlots: 1,
      coldMs: 3_000,
      coldPerSecond: COLD_PER_SECOND,
    }));
    const admitFor = async (durationMs: number) => {
      let admitted = 0;
      for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        while (warmUp.getLimit(SLOTS, 0) > 0 && admitted < 1_000) {
          if (!warmUp.isCold(SLOTS)) return 'no limit';
          warmUp.recordAdmission();
          admitted += 1;
        }
        await timer.advance(STEP_MS);
      }
      return `${admitted} admitted`;
    };
    const seen = [`no report, 1 s: ${await admitFor(1_000)}`];
    warmUp.setColdRemaining(1_000);
    seen.push(`cold, 1 s: ${await admitFor(1_000)}`);
    seen.push(`warm: ${await admitFor(1_000)}`);
    warmUp.restart();
    seen.push(`restarted, 2 s: ${await admitFor(2_000)}`);
    warmUp.setColdRemaining(0);
    seen.push(`reported as warm: ${await admitFor(1_000)}`);
    t.matchSnapshot(seen, 'admitted calls');
  },
);
