import t from 'tap';
import { Deadline } from '../contract/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { AdmissionQueue, type AdmissionLimits } from './mod.ts';

const LIMITS: AdmissionLimits = { limit: 2, queueLength: 2, queueWaitMs: 50, serviceMs: 10 };

interface TestArrival {
  name: string;
  weight?: number;
  leftMs?: number;
  disconnects?: boolean;
}

async function run(
  arrivals: readonly TestArrival[],
  steps: (queue: AdmissionQueue) => void,
): Promise<string[]> {
  const timer = new VirtualTimer();
  const queue = new AdmissionQueue(timer, () => LIMITS);
  const seen: string[] = [];
  const controllers = arrivals.map(() => new AbortController());
  for (const [index, { name, weight = 1, leftMs = 1_000 }] of arrivals.entries()) {
    const signal = (controllers[index] ?? new AbortController()).signal;
    void queue.acquire({ weight, deadline: new Deadline(timer, leftMs), signal }).then((result) => {
      const outcome = result.isOk() ? 'runs' : `refused ${result.error.reason}`;
      seen.push(`${timer.now()} ms ${name} ${outcome}`);
    });
    await timer.runReadyTasks();
  }
  for (const [index, { disconnects }] of arrivals.entries())
    if (disconnects) controllers[index]?.abort();
  steps(queue);
  await timer.advance(100);
  return seen;
}

void t.test('queue.acquire() queues calls up to its limits', async (t) => {
  const names = ['a', 'b', 'c', 'd', 'e'].map((name) => ({ name }));
  t.matchSnapshot(
    await run(names, (queue) => {
      queue.release();
    }),
    'five calls, one slot released',
  );
});

void t.test('queue.acquire() refuses the lowest weight first', async (t) => {
  const arrivals = [
    { name: 'a' },
    { name: 'b' },
    { name: 'low', weight: 1 },
    { name: 'middle', weight: 5 },
    { name: 'high', weight: 9 },
  ];
  t.matchSnapshot(
    await run(arrivals, (queue) => {
      queue.release();
    }),
    'the highest weight runs next',
  );
});

void t.test('queue.acquire() refuses a call that cannot meet its deadline', async (t) => {
  const arrivals = [{ name: 'a' }, { name: 'b' }, { name: 'late', leftMs: 12 }];
  t.matchSnapshot(await run(arrivals, () => undefined), 'refused at once');
});

void t.test('queue.acquire() drops a call whose caller has disconnected', async (t) => {
  const arrivals = [
    { name: 'a' },
    { name: 'b' },
    { name: 'gone', disconnects: true },
    { name: 'd' },
  ];
  t.matchSnapshot(
    await run(arrivals, (queue) => {
      queue.release();
    }),
    'the next call runs',
  );
});
