import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { EMPTY_BODY, collectBody } from '../contract/mod.ts';
import { PlatformDialect } from '../platform/mod.ts';
import { TargetClient } from './mod.ts';

const CALL_ID = '9c41';
const SIGNED = 'Response-Signature: 3e1b';
const BODY_LIMIT_BYTES = 1_000;

/** How a misbehaving target handles a request: which bytes it sends, and how it ends the connection. */
interface Misbehaviour {
  bytes: string;
  end: 'keep' | 'close' | 'reset' | 'reset-with-bytes';
}

function makeAnswer(lines: readonly string[], body: string): string {
  return `HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

const GOOD = makeAnswer([`Request-Id: ${CALL_ID}`, SIGNED, 'Content-Length: 4'], 'good');
const OTHER = makeAnswer(['Request-Id: 0000', SIGNED, 'Content-Length: 5'], 'other');

const CASES: Record<string, Misbehaviour> = {
  whole: { bytes: GOOD, end: 'keep' },
  'a second answer after the first': { bytes: GOOD + OTHER, end: 'keep' },
  'the answer to another call': { bytes: OTHER, end: 'keep' },
  'a success without a signature': {
    bytes: makeAnswer([`Request-Id: ${CALL_ID}`, 'Content-Length: 4'], 'fake'),
    end: 'keep',
  },
  'truncated before its length': {
    bytes: makeAnswer([`Request-Id: ${CALL_ID}`, SIGNED, 'Content-Length: 40'], 'short'),
    end: 'close',
  },
  'without a length, ended': {
    bytes: makeAnswer([`Request-Id: ${CALL_ID}`, SIGNED], 'to the end'),
    end: 'close',
  },
  'without a length, reset': {
    bytes: makeAnswer([`Request-Id: ${CALL_ID}`, SIGNED], 'to the re'),
    end: 'reset',
  },
  'without a length, reset along with its bytes': {
    bytes: makeAnswer([`Request-Id: ${CALL_ID}`, SIGNED], 'to the re'),
    end: 'reset-with-bytes',
  },
  'truncated chunks': {
    bytes: makeAnswer(
      [`Request-Id: ${CALL_ID}`, SIGNED, 'Transfer-Encoding: chunked'],
      '4\r\ngood\r\n',
    ),
    end: 'close',
  },
  'truncated chunks on a connection that was to close': {
    bytes: makeAnswer(
      [`Request-Id: ${CALL_ID}`, SIGNED, 'Connection: close', 'Transfer-Encoding: chunked'],
      '4\r\ngood\r\n',
    ),
    end: 'close',
  },
  'no answer at all': { bytes: 'SSH-2.0-OpenSSH\r\n', end: 'keep' },
  'reset at once': { bytes: '', end: 'reset' },
};

/** Delay of a reset, which would otherwise overtake the bytes sent before it, in milliseconds. */
const RESET_DELAY_MS = 30;

function misbehave(socket: Socket, { bytes, end }: Misbehaviour): void {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    socket.write(bytes);
    if (end === 'close') socket.end();
    if (end === 'reset-with-bytes') socket.resetAndDestroy();
    if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  });
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function runOnce(client: TargetClient): Promise<string> {
  const result = await client.run({
    callId: CALL_ID,
    callerPool: 'boards',
    targetId: 'i-1',
    method: 'GET',
    pathAndQuery: '/boards/3?x=%2F..',
    headers: [
      ['host', 'clubs.example'],
      ['request-id', CALL_ID],
    ],
    body: EMPTY_BODY,
    leftMs: 1_000,
    signal: AbortSignal.timeout(2_000),
  });
  if (result.isErr()) return `no answer: ${result.error.kind}`;
  const body = await collectBody(result.value.body, BODY_LIMIT_BYTES);
  if (body.isErr()) return `${result.value.status} cut`;
  return `${result.value.status} ${Buffer.from(body.value.bytes).toString()}`;
}

void t.test('TargetClient.run() returns only complete answers to its own call', async (t) => {
  const results: string[] = [];
  for (const [name, misbehaviour] of Object.entries(CASES)) {
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      sockets.add(socket);
      misbehave(socket, misbehaviour);
    });
    const dialect = new PlatformDialect();
    const client = new TargetClient(await listen(server), {
      connections: 1,
      healthPath: '/health',
      dialect,
    });
    results.push(`${name}: ${await runOnce(client)}`);
    await client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
  t.matchSnapshot(results, 'results');
});
