import t from 'tap';
import { PauseDetector, VirtualTimer } from './mod.ts';

const PERIOD_MS = 100;
const PAUSE_MS = 3_000;

void t.test('PauseWatch.check() tells a pause of the process from a suspension', (t) => {
  const timer = new VirtualTimer();
  let wallOffsetMs = 0;
  const watch = new PauseDetector(timer, { wallNow: () => timer.now() + wallOffsetMs });
  const seen: string[] = [];
  watch.onPause((gapMs) => seen.push(`paused ${gapMs}`));
  watch.onSuspension((gapMs) => seen.push(`suspended ${gapMs}`));
  const check = (what: string) => {
    const before = seen.length;
    watch.check();
    if (seen.length === before) seen.push('nothing');
    seen.push(...seen.splice(before).map((each) => `${what}: ${each}`));
  };
  timer.jump(PERIOD_MS);
  check('a period');
  timer.jump(PAUSE_MS);
  check('both clocks ran on');
  wallOffsetMs += PAUSE_MS;
  check('only the time of day ran on');
  wallOffsetMs -= PAUSE_MS;
  check('the time of day was set back');
  watch.close();
  t.matchSnapshot(seen, 'signs');
  t.end();
});
