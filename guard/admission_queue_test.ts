import t from 'tap';
import { Deadline } from '../contract/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { AdmissionQueue, type AdmissionBounds } from './mod.ts';

const BOUNDS: AdmissionBounds = { limit: 2, queueLength: 2, queueWaitMs: 50, serviceMs: 10 };

interface Arrival {
  name: string;
  weight?: number;
  leftMs?: number;
  leaves?: boolean;
}

async function play(
  arrivals: readonly Arrival[],
  steps: (gate: AdmissionQueue) => void,
): Promise<string[]> {
  const timer = new VirtualTimer();
  const gate = new AdmissionQueue(timer, () => BOUNDS);
  const seen: string[] = [];
  const controllers = arrivals.map(() => new AbortController());
  for (const [index, { name, weight = 1, leftMs = 1_000 }] of arrivals.entries()) {
    const signal = (controllers[index] ?? new AbortController()).signal;
    void gate.acquire({ weight, deadline: new Deadline(timer, leftMs), signal }).then((result) => {
      const end = result.isOk() ? 'runs' : `refused ${result.error.reason}`;
      seen.push(`${timer.now()} ms ${name} ${end}`);
    });
    await timer.runReadyTasks();
  }
  for (const [index, { leaves }] of arrivals.entries()) if (leaves) controllers[index]?.abort();
  steps(gate);
  await timer.advance(100);
  return seen;
}

void t.test('gate.enter() queues up to its bounds', async (t) => {
  const names = ['a', 'b', 'c', 'd', 'e'].map((name) => ({ name }));
  t.matchSnapshot(
    await play(names, (gate) => {
      gate.release();
    }),
    'five arrivals, one leaves',
  );
});

void t.test('gate.enter() sheds the lowest weight first', async (t) => {
  const arrivals = [
    { name: 'a' },
    { name: 'b' },
    { name: 'low', weight: 1 },
    { name: 'middle', weight: 5 },
    { name: 'high', weight: 9 },
  ];
  t.matchSnapshot(
    await play(arrivals, (gate) => {
      gate.release();
    }),
    'the highest runs next',
  );
});

void t.test('gate.enter() refuses what cannot meet its deadline', async (t) => {
  const arrivals = [{ name: 'a' }, { name: 'b' }, { name: 'late', leftMs: 12 }];
  t.matchSnapshot(await play(arrivals, () => undefined), 'refused at once');
});

void t.test('gate.enter() forgets a caller that left', async (t) => {
  const arrivals = [{ name: 'a' }, { name: 'b' }, { name: 'gone', leaves: true }, { name: 'd' }];
  t.matchSnapshot(
    await play(arrivals, (gate) => {
      gate.release();
    }),
    'the next one runs',
  );
});
