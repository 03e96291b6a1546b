import { err, ok } from 'neverthrow';
import t from 'tap';
import {
  ReceiverRole,
  Repeatability,
  type Attempt,
  type AttemptResult,
  type Body,
  type BodyChunk,
} from '../contract/mod.ts';
import { MemoryLog } from '../event_log/mod.ts';
import { makeExampleCall, makeExampleRoute } from '../fakes/mod.ts';
import { VirtualTimer, sleep } from '../timer/mod.ts';
import {
  Guard,
  HEALTHY_REPORT,
  LimitKind,
  Quarantine,
  type TargetPort,
  type TargetRequest,
} from './mod.ts';

const TIMEOUT_MS = 500;
const CHUNK_PERIOD_MS = 10;
const LONGEST_MS = 40_000;

const ROUTE = makeExampleRoute({ timeoutMs: TIMEOUT_MS, objectiveMs: TIMEOUT_MS });

/** What is done with an answer's body. */
enum Reading {
  All = 'is read on',
  /** Its reader takes the first bytes and stops. */
  First = 'is left after its first bytes',
  Abandoned = 'is abandoned',
}

/** A target that answers at once, with a body that trickles until it is cancelled. */
class TricklingTarget implements TargetPort {
  readonly #timer: VirtualTimer;
  cancelledAtMs: number | undefined;

  constructor(timer: VirtualTimer) {
    this.#timer = timer;
  }

  run({ signal }: TargetRequest): ReturnType<TargetPort['run']> {
    signal.addEventListener('abort', () => {
      this.cancelledAtMs ??= this.#timer.now();
    });
    const body = this.#trickle(signal);
    const fields = { load: undefined, targetId: undefined, shed: false, reported: undefined };
    return Promise.resolve(ok({ status: 200, headers: [], body, ...fields }));
  }

  probe(): ReturnType<TargetPort['probe']> {
    return Promise.resolve(HEALTHY_REPORT);
  }

  async *#trickle(signal: AbortSignal): AsyncGenerator<BodyChunk> {
    while (!signal.aborted) {
      yield ok(Buffer.from('more'));
      await sleep(this.#timer, CHUNK_PERIOD_MS, { signal });
    }
    yield err({ detail: 'cancelled' });
  }
}

function makeAttempt(timer: VirtualTimer, repeatability: Repeatability): Attempt {
  return {
    sender: 'entry',
    sequence: 1,
    receiverRole: ReceiverRole.Guard,
    fingerprint: undefined,
    acceptsSlowTarget: false,
    call: makeExampleCall(timer, { route: { ...ROUTE, repeatability } }),
  };
}

async function read(body: Body, reading: Reading): Promise<string> {
  for await (const chunk of body) {
    if (chunk.isErr()) return 'cut';
    if (reading === Reading.Abandoned) return 'abandoned';
    if (reading === Reading.First) await new Promise(() => undefined);
  }
  return 'whole';
}

async function endOf(result: AttemptResult, reading: Reading): Promise<string> {
  if (result.isErr()) return `${result.error.kind} ${result.error.refusal.reason}`;
  return read(result.value.body, reading);
}

async function play(repeatability: Repeatability, reading: Reading): Promise<string> {
  const timer = new VirtualTimer();
  const log = new MemoryLog(100);
  const target = new TricklingTarget(timer);
  const guard = new Guard({
    instanceId: 'boards-1',
    timer,
    log,
    port: target,
    limitKind: LimitKind.Fixed,
    quarantine: new Quarantine(timer, log),
    probePeriodMs: undefined,
    getSlots: () => 1,
    getPool: () => undefined,
    getVersion: () => 1,
    checkAdmission: () => undefined,
  });
  let end = 'no end';
  void guard.send(makeAttempt(timer, repeatability)).then(async (result) => {
    const how = await endOf(result, reading);
    end = `${how} at ${timer.now()} ms`;
  });
  let freeAtMs: number | undefined;
  while (timer.now() < LONGEST_MS) {
    await timer.advance(CHUNK_PERIOD_MS);
    if (guard.isIdle) freeAtMs ??= timer.now();
  }
  guard.close();
  const restarts = log.lines().filter((line) => line.includes('cold-start')).length;
  return `${end}, slot free at ${freeAtMs ?? 'no'} ms, target cancelled at ${target.cancelledAtMs ?? 'no'} ms, restarts seen ${restarts}`;
}

void t.test('an answer whose body never ends gives its slot back at the deadline', async (t) => {
  const seen: string[] = [];
  for (const reading of Object.values(Reading)) {
    seen.push(`idempotent, ${reading}: ${await play(Repeatability.Idempotent, reading)}`);
  }
  for (const each of [Repeatability.Keyless, Repeatability.NonIdempotent]) {
    seen.push(`${each}: ${await play(each, Reading.All)}`);
  }
  t.matchSnapshot(seen, 'ends');
});
