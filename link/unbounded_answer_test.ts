import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { EMPTY_BODY, cancelBody, collectBody } from '../contract/mod.ts';
import { PlatformDialect } from '../platform/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { TargetClient } from './mod.ts';

const CALL_ID = '9c41';
const OWN = `Request-Id: ${CALL_ID}\r\nResponse-Signature: 3e1b\r\n`;
const GOOD = `HTTP/1.1 200 OK\r\n${OWN}Content-Length: 4\r\n\r\ngood`;
const CHUNKED = `HTTP/1.1 200 OK\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n`;
const LETTERS = 'a'.repeat(16_384);
const CHUNK = `4000\r\n${LETTERS}\r\n`;
const LINES = 'X-Line: a\r\n'.repeat(1_500);
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'.repeat(400);
const LINE_BREAKS = '\r\n'.repeat(8_192);

/** Time that a call has, in milliseconds. */
const CALL_MS = 3_000;
/** A call or probe that has ended by then did not wait for its deadline, in milliseconds. */
const EARLY_MS = 900;
/** Time for a connection to be seen closed, and the time between two looks, in milliseconds. */
const CLOSE_MS = 500;
const LOOK_MS = 5;
/** Time for which a reader reads nothing, in milliseconds. */
const STALL_MS = 300;
/** What a target can have sent to one that stopped reading, with the system's buffers, in bytes. */
const STOPPED_BYTES = 16_777_216;
const BODY_LIMIT_BYTES = 1_000_000;

/** Bytes that a target sends once, and those that it then sends without end. */
interface Flood {
  begin: string;
  repeat: string;
}

const HEADS: Record<string, Flood> = {
  'a status line': { begin: 'HTTP/1.1 200 ', repeat: LETTERS },
  'the name of a header': { begin: 'HTTP/1.1 200 OK\r\n', repeat: LETTERS },
  'the value of a header': { begin: 'HTTP/1.1 200 OK\r\nX-Line: ', repeat: LETTERS },
  'spaces before the value of a header': {
    begin: 'HTTP/1.1 200 OK\r\nX-Line:',
    repeat: ' '.repeat(16_384),
  },
  'header lines': { begin: 'HTTP/1.1 200 OK\r\n', repeat: LINES },
  'a long head': { begin: `HTTP/1.1 200 OK\r\n${OWN}${LINES.repeat(2)}\r\n`, repeat: LETTERS },
  'interim answers': { begin: '', repeat: INTERIM },
  'line breaks': { begin: '', repeat: LINE_BREAKS },
  'no HTTP': { begin: 'SSH-2.0-OpenSSH\r\n', repeat: LETTERS },
  letters: { begin: '', repeat: LETTERS },
};

const BODIES: Record<string, Flood> = {
  chunks: { begin: CHUNKED, repeat: CHUNK },
  'a body without a length': { begin: `HTTP/1.1 200 OK\r\n${OWN}\r\n`, repeat: LETTERS },
  'a chunk extension at once': { begin: `${CHUNKED}4;`, repeat: LETTERS },
  'a chunk extension in a long body': { begin: `${CHUNKED}${CHUNK.repeat(5)}4;`, repeat: LETTERS },
  'chunks with long extensions': { begin: CHUNKED, repeat: `1;${LETTERS}\r\na\r\n` },
  trailers: { begin: `${CHUNKED}4\r\ngood\r\n0\r\n`, repeat: LINES },
  'the answer to another call': {
    begin: 'HTTP/1.1 200 OK\r\nRequest-Id: 0000\r\nTransfer-Encoding: chunked\r\n\r\n',
    repeat: CHUNK,
  },
  'a success without a signature': {
    begin: `HTTP/1.1 200 OK\r\nRequest-Id: ${CALL_ID}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    repeat: CHUNK,
  },
  'an answer that sheds': {
    begin: `HTTP/1.1 503 Busy\r\n${OWN}Not-Executed: full\r\nTransfer-Encoding: chunked\r\n\r\n`,
    repeat: CHUNK,
  },
  'an answer of another target': {
    begin: `HTTP/1.1 421 Misdirected\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n`,
    repeat: CHUNK,
  },
};

const AFTER: Record<string, Flood> = {
  'letters after the answer': { begin: GOOD, repeat: LETTERS },
  'answers after the answer': { begin: GOOD, repeat: GOOD.repeat(100) },
  'line breaks after the answer': { begin: GOOD, repeat: LINE_BREAKS },
};

const timer = new RealTimer();

/** A target that floods its first connection, and serves later ones. */
class FloodingTarget {
  readonly #flood: Flood;
  readonly #sockets: Socket[] = [];
  readonly #server: Server;

  constructor(flood: Flood) {
    this.#flood = flood;
    this.#server = createServer((socket) => {
      this.#sockets.push(socket);
      socket.on('error', () => undefined);
      if (this.#sockets.length === 1) socket.once('data', () => void this.#send(socket));
      else socket.on('data', () => socket.write(GOOD));
    });
  }

  get sentBytes(): number {
    return this.#sockets[0]?.bytesWritten ?? 0;
  }

  get isClosed(): boolean {
    return this.#sockets[0]?.destroyed ?? true;
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

  async #send(socket: Socket): Promise<void> {
    const repeat = Buffer.from(this.#flood.repeat);
    if (repeat.length === 0) socket.on('data', () => socket.write(GOOD));
    socket.write(this.#flood.begin);
    while (!socket.destroyed && repeat.length > 0) {
      if (socket.write(repeat)) continue;
      await new Promise<void>((resolve) => {
        const done = () => {
          socket.off('drain', done).off('close', done);
          resolve();
        };
        socket.on('drain', done).on('close', done);
      });
    }
  }
}

async function call(client: TargetClient, read: 'whole' | 'head' | 'late'): Promise<string> {
  const result = await client.run({
    callId: CALL_ID,
    callerPool: 'boards',
    targetId: 'i-1',
    method: 'GET',
    pathAndQuery: '/boards/3',
    headers: [['host', 'clubs.example']],
    body: EMPTY_BODY,
    leftMs: CALL_MS,
    signal: AbortSignal.timeout(CALL_MS),
  });
  if (result.isErr()) return `no answer (${result.error.kind})`;
  const { status, shed, body } = result.value;
  if (read === 'late') await sleep(timer, STALL_MS);
  if (read !== 'whole' || shed) {
    await cancelBody(body);
    return `${status} ${shed ? 'shed' : 'abandoned'}`;
  }
  const whole = await collectBody(body, BODY_LIMIT_BYTES);
  return whole.match(
    ({ bytes }) => `${status} ${bytes.length > 4 ? bytes.length : Buffer.from(bytes).toString()}`,
    (failure) => `${status} ${failure}`,
  );
}

async function play(flood: Flood, act: (client: TargetClient) => Promise<string>): Promise<string> {
  const target = new FloodingTarget(flood);
  const client = new TargetClient(await target.listen(), {
    connections: 1,
    healthPath: '/health',
    dialect: new PlatformDialect(),
  });
  const startMs = timer.now();
  const seen = await act(client);
  const elapsedMs = timer.now() - startMs;
  const endedAt = elapsedMs < EARLY_MS ? 'early' : 'at the deadline';
  for (let waitedMs = 0; !target.isClosed && waitedMs < CLOSE_MS; waitedMs += LOOK_MS) {
    await sleep(timer, LOOK_MS);
  }
  const end = target.isClosed ? 'closed' : 'left open';
  const sent = target.sentBytes;
  const bytes = sent <= STOPPED_BYTES ? 'stopped' : 'flooded';
  const later = await call(client, 'whole');
  await client.close();
  target.close();
  return `${seen} ${endedAt}, ${bytes}, ${end}, then ${later}`;
}

async function playAll(
  floods: Record<string, Flood>,
  act: (client: TargetClient) => Promise<string>,
): Promise<string[]> {
  const lines: string[] = [];
  for (const [name, flood] of Object.entries(floods)) {
    lines.push(`${name}: ${await play(flood, act)}`);
  }
  return lines;
}

void t.test('a head without end ends its call', async (t) => {
  t.matchSnapshot(await playAll(HEADS, (client) => call(client, 'whole')), 'heads');
});

void t.test('a body without end is not read beyond what its reader takes', async (t) => {
  t.matchSnapshot(await playAll(BODIES, (client) => call(client, 'whole')), 'read');
  t.matchSnapshot(await playAll(BODIES, (client) => call(client, 'head')), 'abandoned');
  t.matchSnapshot(await playAll(BODIES, (client) => call(client, 'late')), 'unread');
});

void t.test('a long answer in the smallest chunks is no flood', async (t) => {
  const small = { begin: `${CHUNKED}${'1\r\na\r\n'.repeat(200_000)}0\r\n\r\n`, repeat: '' };
  t.matchSnapshot(await playAll({ small }, (client) => call(client, 'whole')), 'whole');
});

void t.test('bytes without end after an answer close its connection', async (t) => {
  t.matchSnapshot(await playAll(AFTER, (client) => call(client, 'whole')), 'after');
});

void t.test('a probe ends that is answered without end', async (t) => {
  const probe = async (client: TargetClient) => {
    const report = await client.probe();
    return report ? `healthy: ${report.isHealthy}` : 'no report';
  };
  t.matchSnapshot(await playAll({ ...HEADS, ...BODIES, ...AFTER }, probe), 'probes');
});
