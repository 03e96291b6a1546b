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
  NO_STATEMENT,
  Quarantine,
  type TargetPort,
  type TargetRequest,
} from './mod.ts';

const TIMEOUT_MS = 500;
const CHUNK_PERIOD_MS = 10;
const LONGEST_MS = 40_000;

const ROUTE = makeExampleRoute({ timeoutMs: TIMEOUT_MS, objectiveMs: TIMEOUT_MS });

/** What the reader does with an answer's body. */
enum Reading {
  Continuous = 'is read on',
  /** Reads the first chunk and then stalls. */
  Stalled = 'is left after its first bytes',
  Cancelled = 'is abandoned',
}

/** A target that answers at once, with a body that continues until it is cancelled. */
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
    const fields = {
      load: undefined,
      targetId: undefined,
      shed: false,
      reported: undefined,
      statement: NO_STATEMENT,
    };
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
    acceptsDelay: false,
    call: makeExampleCall(timer, { route: { ...ROUTE, repeatability } }),
  };
}

async function readBody(body: Body, reading: Reading): Promise<string> {
  for await (const chunk of body) {
    if (chunk.isErr()) return 'truncated';
    if (reading === Reading.Cancelled) return 'cancelled';
    if (reading === Reading.Stalled) await new Promise(() => undefined);
  }
  return 'complete';
}

async function describeResult(result: AttemptResult, reading: Reading): Promise<string> {
  if (result.isErr()) return `${result.error.kind} ${result.error.refusal.reason}`;
  return readBody(result.value.body, reading);
}

async function run(repeatability: Repeatability, reading: Reading): Promise<string> {
  const timer = new VirtualTimer();
  const log = new MemoryLog(100);
  const target = new TricklingTarget(timer);
  const guard = new Guard({
    timer,
    log,
    port: target,
    limitKind: LimitKind.Fixed,
    quarantine: new Quarantine(timer, log),
    probePeriodMs: undefined,
    addressReuseMs: Infinity,
    getListedId: () => undefined,
    getSlots: () => 1,
    getPool: () => undefined,
    getVersion: () => 1,
    checkAdmission: () => undefined,
    onCrash: () => undefined,
    onSuspectAnswered: () => undefined,
  });
  let end = 'not complete';
  void guard.send(makeAttempt(timer, repeatability)).then(async (result) => {
    const description = await describeResult(result, reading);
    end = `${description} at ${timer.now()} ms`;
  });
  let releasedAtMs: number | undefined;
  while (timer.now() < LONGEST_MS) {
    await timer.advance(CHUNK_PERIOD_MS);
    if (guard.isIdle) releasedAtMs ??= timer.now();
  }
  guard.close();
  const restarts = log.lines().filter((line) => line.includes('cold-start')).length;
  return `${end}, slot released at ${releasedAtMs ?? 'no'} ms, target cancelled at ${target.cancelledAtMs ?? 'no'} ms, restarts recorded ${restarts}`;
}

void t.test('an answer with an unbounded body releases its slot at the deadline', async (t) => {
  const seen: string[] = [];
  for (const reading of Object.values(Reading)) {
    seen.push(`idempotent, ${reading}: ${await run(Repeatability.Idempotent, reading)}`);
  }
  for (const each of [Repeatability.Keyless, Repeatability.NonIdempotent]) {
    seen.push(`${each}: ${await run(each, Reading.Continuous)}`);
  }
  t.matchSnapshot(seen, 'results');
});
