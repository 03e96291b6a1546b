import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import t from 'tap';
import { EMPTY_BODY, collectBody } from '../contract/mod.ts';
import { PlatformDialect } from '../platform/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { DefaultDialect, TargetClient, type HttpDialect } from './mod.ts';

const BODY_LIMIT_BYTES = 1_000;
const DEADLINE_MS = 1_000;
/** Time after a repeated answer at which the target sends its own, in milliseconds. */
const RUN_MS = 30;
const timer = new RealTimer();

/** What a target repeats on a connection on which another call follows. */
interface RepeatedAnswer {
  status: number;
  /** Headers besides the identifier of the call. */
  headers: readonly string[];
  body: string;
}

const SIGNATURE = 'Response-Signature: 3e1b';
const PLATFORM_ANSWERS: Record<string, RepeatedAnswer> = {
  'refusal, empty': { status: 503, headers: ['Not-Executed: 1'], body: '' },
  'refusal with a body': { status: 503, headers: ['Not-Executed: full'], body: 'full' },
  'other process': { status: 421, headers: ['Not-Executed: 1'], body: '' },
  'bad request': { status: 400, headers: ['Not-Executed: 1'], body: '' },
  failure: { status: 500, headers: [SIGNATURE], body: 'broken' },
  timeout: { status: 504, headers: [SIGNATURE], body: '' },
  success: { status: 200, headers: [SIGNATURE], body: 'first' },
  'success, unsigned and empty': { status: 200, headers: [], body: '' },
};
const DEFAULT_ANSWERS: Record<string, RepeatedAnswer> = {
  'refusal, empty': { status: 503, headers: ['rhubarbkeel-target-shed: full'], body: '' },
  'refusal with a body': { status: 503, headers: ['rhubarbkeel-target-shed: full'], body: 'full' },
};

function formatAnswer({ status, headers, body }: RepeatedAnswer, idHeader?: string): string {
  const lines = [...headers, ...(idHeader ? [idHeader] : []), `Content-Length: ${body.length}`];
  return `HTTP/1.1 ${status} X\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Name under which the target echoes a call's identifier. */
function getIdHeader(dialect: HttpDialect): string {
  return dialect instanceof PlatformDialect ? 'Request-Id' : 'rhubarbkeel-call';
}

/** Answers the first call as given, and repeats that answer before its answer to the second call. */
class RepeatingTarget {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #callCount = 0;

  constructor(idHeader: string, answer: RepeatedAnswer, repeatsId: boolean) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        const callId = /(?:request-id|rhubarbkeel-call): *(\S+)/i.exec(bytes.toString())?.[1];
        const own = { status: 200, headers: [SIGNATURE], body: `own ${callId ?? ''}` };
        const ownText = formatAnswer(own, `${idHeader}: ${callId ?? ''}`);
        this.#callCount += 1;
        if (this.#callCount === 1) {
          socket.write(formatAnswer(answer, `${idHeader}: ${callId ?? ''}`));
        } else if (this.#callCount === 2) {
          socket.write(formatAnswer(answer, repeatsId ? `${idHeader}: call-1` : undefined));
          void sleep(timer, RUN_MS).then(() => socket.write(ownText));
        } else {
          socket.write(ownText);
        }
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}

async function call(client: TargetClient, callId: string): Promise<string> {
  const result = await client.run({
    callId,
    callerPool: 'boards',
    targetId: 'i-1',
    method: 'POST',
    pathAndQuery: '/results',
    headers: [['request-id', callId]],
    body: EMPTY_BODY,
    leftMs: DEADLINE_MS,
    signal: AbortSignal.timeout(DEADLINE_MS),
  });
  if (result.isErr()) return `unknown (${result.error.kind})`;
  const { status, shed, body } = result.value;
  const bytes = (await collectBody(body, BODY_LIMIT_BYTES)).match(
    (whole) => Buffer.from(whole.bytes).toString(),
    (failure) => failure.toString(),
  );
  return shed ? `${status} not run` : `${status} "${bytes}"`;
}

async function runCalls(
  dialect: HttpDialect,
  answers: Record<string, RepeatedAnswer>,
): Promise<string[]> {
  const seen: string[] = [];
  for (const repeatsId of [true, false]) {
    for (const [name, answer] of Object.entries(answers)) {
      const target = new RepeatingTarget(getIdHeader(dialect), answer, repeatsId);
      const options = { connections: 1, healthPath: '/health', dialect };
      const client = new TargetClient(await target.listen(), options);
      const results = [await call(client, 'call-1'), await call(client, 'call-2')];
      await sleep(timer, 2 * RUN_MS);
      results.push(await call(client, 'call-3'));
      await client.close();
      target.close();
      seen.push(`${name}, ${repeatsId ? 'with' : 'without'} identifier: ${results.join(', ')}`);
    }
  }
  return seen;
}

void t.test('an answer that is sent again is not taken for that of a later call', async (t) => {
  t.matchSnapshot(await runCalls(new PlatformDialect(), PLATFORM_ANSWERS), 'platform');
  t.matchSnapshot(await runCalls(new DefaultDialect(), DEFAULT_ANSWERS), 'default dialect');
});

void t.test('an answer to a call is not taken for the report of a probe', async (t) => {
  const seen: string[] = [];
  for (const [name, answer] of Object.entries(PLATFORM_ANSWERS)) {
    for (const repeatsId of [true, false]) {
      const target = new RepeatingTarget('Request-Id', answer, repeatsId);
      const dialect = new PlatformDialect();
      const options = { connections: 1, healthPath: '/health', dialect };
      const client = new TargetClient(await target.listen(), options);
      await call(client, 'call-1');
      const report = await client.probe();
      const result = report ? `healthy: ${report.isHealthy}` : 'no report';
      seen.push(`${name}, ${repeatsId ? 'with' : 'without'} identifier: ${result}`);
      await client.close();
      target.close();
    }
  }
  t.matchSnapshot(seen, 'probes');
});
