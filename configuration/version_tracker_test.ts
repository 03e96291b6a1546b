import t from 'tap';
import { VirtualTimer } from '../timer/mod.ts';
import { VersionTracker } from './mod.ts';

void t.test('VersionTracker.waitFor() waits for a version or until its limit', async (t) => {
  const timer = new VirtualTimer();
  const tracker = new VersionTracker(timer);
  const results: string[] = [];
  const wait = (version: number, limitMs: number) => {
    void tracker.waitFor(version, limitMs).then((isApplied) => {
      results.push(
        `version ${version} after ${timer.now()} ms: ${isApplied ? 'applied' : 'timed out'}`,
      );
    });
  };
  tracker.recordApplied(2);
  wait(1, 400);
  wait(3, 200);
  wait(4, 400);
  wait(5, 0);
  await timer.advance(20);
  tracker.recordKnown(9);
  tracker.recordApplied(3);
  await timer.advance(100);
  t.matchSnapshot([...results, `newest known ${tracker.newestKnown}`], 'results');
});
