import t from 'tap';
import { VirtualTimer } from '../timer/mod.ts';
import { VersionTracker } from './mod.ts';

void t.test('VersionProgress.until() ends with the version or with the time', async (t) => {
  const timer = new VirtualTimer();
  const progress = new VersionTracker(timer);
  const seen: string[] = [];
  const wait = (version: number, limitMs: number) => {
    void progress.waitFor(version, limitMs).then((isReached) => {
      seen.push(`version ${version} after ${timer.now()} ms: ${isReached ? 'reached' : 'missed'}`);
    });
  };
  progress.recordApplied(2);
  wait(1, 400);
  wait(3, 200);
  wait(4, 400);
  wait(5, 0);
  await timer.advance(20);
  progress.recordKnown(9);
  progress.recordApplied(3);
  await timer.advance(100);
  t.matchSnapshot([...seen, `heard ${progress.newestKnown}`], 'ends');
});
