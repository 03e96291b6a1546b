import t from 'tap';
import { PauseDetector, VirtualTimer } from './mod.ts';

const PERIOD_MS = 100;
const PAUSE_MS = 3_000;

void t.test('PauseDetector.check() distinguishes a pause of the process from a suspension', (t) => {
  const timer = new VirtualTimer();
  let wallOffsetMs = 0;
  const detector = new PauseDetector(timer, { wallNow: () => timer.now() + wallOffsetMs });
  const seen: string[] = [];
  detector.onPause((gapMs) => seen.push(`paused ${gapMs}`));
  detector.onSuspension((gapMs) => seen.push(`suspended ${gapMs}`));
  const check = (step: string) => {
    const before = seen.length;
    detector.check();
    if (seen.length === before) seen.push('nothing');
    seen.push(...seen.splice(before).map((line) => `${step}: ${line}`));
  };
  timer.jump(PERIOD_MS);
  check('one check interval');
  timer.jump(PAUSE_MS);
  check('both clocks advanced');
  wallOffsetMs += PAUSE_MS;
  check('only the wall clock advanced');
  wallOffsetMs -= PAUSE_MS;
  check('the wall clock was set back');
  detector.close();
  t.matchSnapshot(seen, 'detections');
  t.end();
});
