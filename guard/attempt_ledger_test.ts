import { ok } from 'neverthrow';
import t from 'tap';
import { Deadline, BufferedBody, type AttemptResult } from '../contract/mod.ts';
import { VirtualTimer } from '../timer/mod.ts';
import { AttemptLedger } from './mod.ts';

const answer: AttemptResult = ok({
  status: 200,
  headers: [],
  body: new BufferedBody(Buffer.from('done')),
  load: undefined,
});

function describe(result: AttemptResult): string {
  return result.match(
    ({ status }) => `answered ${status}`,
    ({ kind, refusal }) => `${kind}: ${refusal.reason}`,
  );
}

void t.test('ledger.settle() fences an attempt only if it has not started', async (t) => {
  const timer = new VirtualTimer();
  const ledger = new AttemptLedger(timer);
  const deadline = new Deadline(timer, 100);
  const id = (sequence: number) => ({ sender: 'a', sequence });
  const seen: string[] = [];
  seen.push(`never received: ${describe(await ledger.settle(id(1), deadline))}`);
  seen.push(`accepted afterwards: ${ledger.accept(id(1)).isOk()}`);
  ledger.accept(id(2));
  seen.push(`queued: ${describe(await ledger.settle(id(2), deadline))}`);
  seen.push(`starts afterwards: ${ledger.start(id(2))}`);
  ledger.accept(id(3));
  ledger.start(id(3));
  const running = ledger.settle(id(3), deadline);
  ledger.complete(id(3), answer);
  seen.push(`running: ${describe(await running)}`);
  seen.push(`accepted twice: ${ledger.accept(id(3)).isOk()}`);
  ledger.accept(id(4));
  ledger.start(id(4));
  const late = ledger.settle(id(4), deadline);
  await timer.advance(200);
  seen.push(`still running at the deadline: ${describe(await late)}`);
  await timer.advance(120_000);
  seen.push(`dropped: ${describe(await ledger.settle(id(3), new Deadline(timer, 10)))}`);
  seen.push(`accepted after it was dropped: ${ledger.accept(id(1)).isOk()}`);
  t.matchSnapshot(seen, 'results');
});

void t.test('ledger.settle() reports an unknown outcome for dropped results', async (t) => {
  const timer = new VirtualTimer();
  const ledger = new AttemptLedger(timer, { keptBytes: 600 });
  for (let sequence = 1; sequence <= 4; sequence += 1) {
    ledger.accept({ sender: 'a', sequence });
    ledger.start({ sender: 'a', sequence });
    ledger.complete({ sender: 'a', sequence }, answer);
  }
  const results = [];
  for (let sequence = 1; sequence <= 4; sequence += 1) {
    results.push(describe(await ledger.settle({ sender: 'a', sequence }, new Deadline(timer, 10))));
  }
  t.matchSnapshot(results, 'four attempts, memory for two');
});
