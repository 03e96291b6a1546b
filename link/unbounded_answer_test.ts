import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { EMPTY_BODY, cancelBody, collectBody } from '../contract/mod.ts';
import { PlatformDialect } from '../platform/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { TargetClient } from './mod.ts';

const CALL_ID = '9c41';
const OWN_HEADERS = `Request-Id: ${CALL_ID}\r\nResponse-Signature: 3e1b\r\n`;
/** Header that tells the report of a probe from an answer to a call. */
const REPORT_HEADER = 'Instance-Id: i-1';
const GOOD_ANSWER = `HTTP/1.1 200 OK\r\n${OWN_HEADERS}Content-Length: 4\r\n\r\ngood`;
const CHUNKED_HEADERS = `HTTP/1.1 200 OK\r\n${OWN_HEADERS}Transfer-Encoding: chunked\r\n\r\n`;
const LETTERS = 'a'.repeat(16_384);
const CHUNK = `4000\r\n${LETTERS}\r\n`;
const LINES = 'X-Line: a\r\n'.repeat(1_500);
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'.repeat(400);
const LINE_BREAKS = '\r\n'.repeat(8_192);

/** Timeout of a call, in milliseconds. */
const CALL_MS = 3_000;
/** A call or probe that completes within this time did not wait for its deadline, in milliseconds. */
const EARLY_MS = 900;
/** Longest wait for a connection to close, and the interval of its checks, in milliseconds. */
const CLOSE_MS = 500;
const CHECK_INTERVAL_MS = 5;
/** Time for which a reader reads nothing, in milliseconds. */
const STALL_MS = 300;
/** Most bytes that a target can send, with the system's buffers, to a client that stops reading. */
const STOPPED_BYTES = 16_777_216;
const BODY_LIMIT_BYTES = 1_000_000;

/** Bytes that a target sends once, and bytes that it then repeats without end. */
interface Flood {
  begin: string;
  repeat: string;
}

const HEADER_FLOODS: Record<string, Flood> = {
  'a status line': { begin: 'HTTP/1.1 200 ', repeat: LETTERS },
  'the name of a header': { begin: 'HTTP/1.1 200 OK\r\n', repeat: LETTERS },
  'the value of a header': { begin: 'HTTP/1.1 200 OK\r\nX-Line: ', repeat: LETTERS },
  'spaces before the value of a header': {
    begin: 'HTTP/1.1 200 OK\r\nX-Line:',
    repeat: ' '.repeat(16_384),
  },
  'header lines': { begin: 'HTTP/1.1 200 OK\r\n', repeat: LINES },
  'a long header section': {
    begin: `HTTP/1.1 200 OK\r\n${OWN_HEADERS}${LINES.repeat(2)}\r\n`,
    repeat: LETTERS,
  },
  'interim answers': { begin: '', repeat: INTERIM },
  'line breaks': { begin: '', repeat: LINE_BREAKS },
  'not HTTP': { begin: 'SSH-2.0-OpenSSH\r\n', repeat: LETTERS },
  letters: { begin: '', repeat: LETTERS },
};

const BODY_FLOODS: Record<string, Flood> = {
  chunks: { begin: CHUNKED_HEADERS, repeat: CHUNK },
  'a body without a length': { begin: `HTTP/1.1 200 OK\r\n${OWN_HEADERS}\r\n`, repeat: LETTERS },
  'a chunk extension at once': { begin: `${CHUNKED_HEADERS}4;`, repeat: LETTERS },
  'a chunk extension in a long body': {
    begin: `${CHUNKED_HEADERS}${CHUNK.repeat(5)}4;`,
    repeat: LETTERS,
  },
  'chunks with long extensions': { begin: CHUNKED_HEADERS, repeat: `1;${LETTERS}\r\na\r\n` },
  trailers: { begin: `${CHUNKED_HEADERS}4\r\ngood\r\n0\r\n`, repeat: LINES },
  'the answer to another call': {
    begin: 'HTTP/1.1 200 OK\r\nRequest-Id: 0000\r\nTransfer-Encoding: chunked\r\n\r\n',
    repeat: CHUNK,
  },
  'a success without a signature': {
    begin: `HTTP/1.1 200 OK\r\nRequest-Id: ${CALL_ID}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    repeat: CHUNK,
  },
  'an answer that sheds': {
    begin: `HTTP/1.1 503 Busy\r\n${OWN_HEADERS}Not-Executed: full\r\nTransfer-Encoding: chunked\r\n\r\n`,
    repeat: CHUNK,
  },
  'an answer of another target': {
    begin: `HTTP/1.1 421 Misdirected\r\n${OWN_HEADERS}Transfer-Encoding: chunked\r\n\r\n`,
    repeat: CHUNK,
  },
};

const TRAILING_FLOODS: Record<string, Flood> = {
  'letters after the answer': { begin: GOOD_ANSWER, repeat: LETTERS },
  'answers after the answer': { begin: GOOD_ANSWER, repeat: GOOD_ANSWER.repeat(100) },
  'line breaks after the answer': { begin: GOOD_ANSWER, repeat: LINE_BREAKS },
};

const timer = new RealTimer();

/** A target that floods its first connection, and answers on later ones. */
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
      else socket.on('data', () => socket.write(GOOD_ANSWER));
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
    if (repeat.length === 0) socket.on('data', () => socket.write(GOOD_ANSWER));
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
    headers: [
      ['host', 'clubs.example'],
      ['request-id', CALL_ID],
    ],
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

async function runFlood(
  flood: Flood,
  action: (client: TargetClient) => Promise<string>,
): Promise<string> {
  const target = new FloodingTarget(flood);
  const client = new TargetClient(await target.listen(), {
    connections: 1,
    healthPath: '/health',
    dialect: new PlatformDialect(),
  });
  const startMs = timer.now();
  const result = await action(client);
  const elapsedMs = timer.now() - startMs;
  const endedAt = elapsedMs < EARLY_MS ? 'early' : 'at the deadline';
  for (let waitedMs = 0; !target.isClosed && waitedMs < CLOSE_MS; waitedMs += CHECK_INTERVAL_MS) {
    await sleep(timer, CHECK_INTERVAL_MS);
  }
  const end = target.isClosed ? 'closed' : 'left open';
  const sent = target.sentBytes;
  const bytes = sent <= STOPPED_BYTES ? 'stopped' : 'flooded';
  const later = await call(client, 'whole');
  await client.close();
  target.close();
  return `${result} ${endedAt}, ${bytes}, ${end}, then ${later}`;
}

async function runFloods(
  floods: Record<string, Flood>,
  action: (client: TargetClient) => Promise<string>,
): Promise<string[]> {
  const lines: string[] = [];
  for (const [name, flood] of Object.entries(floods)) {
    lines.push(`${name}: ${await runFlood(flood, action)}`);
  }
  return lines;
}

void t.test('an unbounded header section fails its call', async (t) => {
  t.matchSnapshot(
    await runFloods(HEADER_FLOODS, (client) => call(client, 'whole')),
    'header sections',
  );
});

void t.test('an unbounded body is read only as far as its reader asks', async (t) => {
  t.matchSnapshot(await runFloods(BODY_FLOODS, (client) => call(client, 'whole')), 'read');
  t.matchSnapshot(await runFloods(BODY_FLOODS, (client) => call(client, 'head')), 'abandoned');
  t.matchSnapshot(await runFloods(BODY_FLOODS, (client) => call(client, 'late')), 'late');
});

void t.test('a long answer in chunks of one byte is accepted', async (t) => {
  const small = { begin: `${CHUNKED_HEADERS}${'1\r\na\r\n'.repeat(200_000)}0\r\n\r\n`, repeat: '' };
  t.matchSnapshot(await runFloods({ small }, (client) => call(client, 'whole')), 'whole');
});

void t.test('unbounded bytes after an answer close its connection', async (t) => {
  t.matchSnapshot(
    await runFloods(TRAILING_FLOODS, (client) => call(client, 'whole')),
    'trailing bytes',
  );
});

void t.test('a probe with an unbounded answer completes', async (t) => {
  const probe = async (client: TargetClient) => {
    const report = await client.probe();
    return report ? `healthy: ${report.isHealthy}` : 'no report';
  };
  const floods = Object.entries({ ...HEADER_FLOODS, ...BODY_FLOODS, ...TRAILING_FLOODS });
  const reports = floods.map(([name, { begin, repeat }]): [string, Flood] => [
    name,
    { begin: begin.replace(/Request-Id: \S+/, REPORT_HEADER), repeat },
  ]);
  t.matchSnapshot(await runFloods(Object.fromEntries(reports), probe), 'probes');
});
