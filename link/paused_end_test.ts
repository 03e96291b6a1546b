import { createServer, type AddressInfo, type Server } from 'node:net';
import t from 'tap';
import { EMPTY_BODY, collectBody } from '../contract/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { TargetClient } from './mod.ts';

/** Sizes of answers around those at which the library's parser pauses with nothing left to read. */
const SIZES = [70_000, 131_072, 196_608, 200_000, 262_144];
const READER_PAUSE_MS = 100;
const RESET_DELAY_MS = 20;
const DEADLINE_MS = 800;
const ANSWER_LIMIT_BYTES = 1_000_000;

enum Ending {
  Close = 'close',
  Reset = 'reset',
}

/** What the head of an answer says of its length; the body always has the size itself. */
const LENGTHS: Record<string, (bytes: number) => string> = {
  'no length': () => '',
  'its length': (bytes) => `Content-Length: ${bytes}\r\n`,
  'a greater length': (bytes) => `Content-Length: ${bytes + 1_000}\r\n`,
};

async function listen(head: string, bytes: number, ending: Ending): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(
        `HTTP/1.1 200 OK\r\nConnection: close\r\n${head}\r\n${'b'.repeat(bytes)}`,
        () => {
          if (ending === Ending.Close) socket.end();
          else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
        },
      );
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

/** Calls a target that ends its connection after its answer, whose reader pauses before it reads on. */
async function readLate(server: Server): Promise<number | undefined> {
  const { port } = server.address() as AddressInfo;
  const client = new TargetClient(`http://127.0.0.1:${port}`, { connections: 1, healthPath: '/' });
  const result = await client.run({
    callId: 'call-1',
    callerPool: 'boards',
    targetId: undefined,
    method: 'GET',
    pathAndQuery: '/',
    headers: [],
    body: EMPTY_BODY,
    leftMs: DEADLINE_MS,
    signal: AbortSignal.timeout(DEADLINE_MS),
  });
  await sleep(new RealTimer(), READER_PAUSE_MS);
  const body = result.isOk() ? await collectBody(result.value.body, ANSWER_LIMIT_BYTES) : undefined;
  await client.close();
  server.close();
  return body?.isOk() === true ? body.value.bytes.length : undefined;
}

void t.test('a connection that ends while its reader is paused ends no process', async (t) => {
  const uncaught: string[] = [];
  const record = (error: Error) => uncaught.push(error.message);
  process.on('uncaughtException', record);
  const untrue: string[] = [];
  for (const bytes of SIZES) {
    for (const [name, makeHead] of Object.entries(LENGTHS)) {
      for (const ending of Object.values(Ending)) {
        const length = await readLate(await listen(makeHead(bytes), bytes, ending));
        const isWhole = ending === Ending.Close && name !== 'a greater length';
        const isCut = length === undefined;
        // A reset may come after a framed answer has been read, or before.
        const isEither = ending === Ending.Reset && name === 'its length' && length === bytes;
        if (!isEither && (isWhole ? length !== bytes : !isCut))
          untrue.push(`${bytes} bytes, ${name}, ${ending}: ${length ?? 'cut'}`);
      }
    }
  }
  process.off('uncaughtException', record);
  t.strictSame(uncaught, [], 'errors outside of any call');
  t.strictSame(untrue, [], 'answers that are cut though whole, or the reverse');
});
