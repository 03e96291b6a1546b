import t from 'tap';
import { RealTimer, sleep } from './mod.ts';

void t.test('RealTimer.after() does not fire at once for a delay of many years', async (t) => {
  const timer = new RealTimer();
  const fired: number[] = [];
  const delays = [2 ** 31, 1e12, Infinity];
  const subscriptions = delays.map((delayMs) => timer.after(delayMs, () => fired.push(delayMs)));
  await sleep(timer, 50);
  for (const subscription of subscriptions) subscription.cancel();
  t.strictSame(fired, [], 'delays after which a listener was called');
});
