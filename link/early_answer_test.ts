import { connect, type Socket } from 'node:net';
import { err, ok } from 'neverthrow';
import t from 'tap';
import {
  BufferedBody,
  RefusalReason,
  collectBody,
  makeNotRunRefusal,
  type Body,
} from '../contract/mod.ts';
import type { CallerReply } from '../entry/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { CallerServer } from './mod.ts';

const PIECES = 12;
const PIECE_INTERVAL_MS = 20;
const PIECE_BYTES = 5_000;
/** More than what is discarded to keep a connection. */
const LARGE_PIECE_BYTES = 2_000_000;
const WAIT_MS = 3_000;
const ALL_BYTES = 100_000_000;

/** What the server does with a call whose path names it. */
enum Handling {
  AnswerUnread = 'answered, none of the body read',
  AnswerPartlyRead = 'answered, a part of the body read',
  AnswerWhileReading = 'answered while the body is read',
  RefusePartlyRead = 'refused, reading cancelled',
}

/** How the body of a request is sent. */
enum Framing {
  Length = 'length',
  Chunks = 'chunks',
}

const timer = new RealTimer();

function answer(text: string): CallerReply {
  const body = new BufferedBody(Buffer.from(text));
  return {
    callId: 'c',
    result: ok({ status: 200, headers: [], body, load: undefined }),
    nextKey: undefined,
  };
}

async function serve(path: string, body: Body): Promise<CallerReply> {
  const handling = Object.values(Handling)[Number(path.slice(1))];
  const chunks = body[Symbol.asyncIterator]();
  switch (handling) {
    case undefined: {
      const collected = await collectBody(body, ALL_BYTES);
      return answer(`next ${collected.isOk() ? collected.value.bytes.length : 'truncated'}`);
    }
    case Handling.AnswerUnread:
      break;
    case Handling.AnswerPartlyRead:
      await chunks.next();
      break;
    case Handling.AnswerWhileReading:
      void collectBody(body, ALL_BYTES);
      break;
    case Handling.RefusePartlyRead:
      await chunks.next();
      await chunks.return?.();
      return {
        callId: 'c',
        result: err(makeNotRunRefusal(RefusalReason.TargetShed, 'full')),
        nextKey: undefined,
      };
  }
  return answer('early');
}

function formatHead(path: string, framing: Framing, bytes: number): string {
  const header =
    framing === Framing.Length ? `Content-Length: ${bytes}` : 'Transfer-Encoding: chunked';
  return `POST ${path} HTTP/1.1\r\nHost: localhost\r\n${header}\r\n\r\n`;
}

/** Sends a body in pieces, as a caller does that goes on while its call is answered. */
async function sendPieces(socket: Socket, framing: Framing, pieceBytes: number): Promise<void> {
  const piece = Buffer.alloc(pieceBytes, 'b');
  for (let count = 0; count < PIECES && !socket.destroyed; count += 1) {
    if (framing === Framing.Chunks) socket.write(`${pieceBytes.toString(16)}\r\n`);
    socket.write(piece);
    if (framing === Framing.Chunks) socket.write('\r\n');
    await sleep(timer, PIECE_INTERVAL_MS);
  }
  if (framing === Framing.Chunks) socket.write('0\r\n\r\n');
}

/** Sends a long request and the next one on its connection, and describes their answers. */
async function describeConnection(
  port: number,
  handling: Handling,
  { framing, pieceBytes }: { framing: Framing; pieceBytes: number },
): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (bytes: Buffer) => (received += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  const path = `/${Object.values(Handling).indexOf(handling)}`;
  socket.write(formatHead(path, framing, PIECES * pieceBytes));
  await sendPieces(socket, framing, pieceBytes);
  const isLast = /^connection: close/im.test(received);
  if (!isLast) socket.write(`${formatHead('/next', Framing.Length, 3)}abc`);
  const endMs = timer.now() + WAIT_MS;
  const isDone = () => socket.closed || received.includes('next');
  while (timer.now() < endMs && !isDone()) await sleep(timer, 10);
  const isClosed = socket.closed;
  socket.destroy();
  const [, status = 'no answer'] = /^HTTP\/1\.1 (\d+)/.exec(received) ?? [];
  const isNextAnswered = received.includes('next 3');
  const next = isNextAnswered ? 'next answered' : isClosed ? 'closed' : 'next not answered';
  return `${handling}, ${framing}: ${status}${isLast ? ', says that it closes' : ''}, ${next}`;
}

async function listen(): Promise<CallerServer> {
  const listening = await CallerServer.listen({
    host: '127.0.0.1',
    port: 0,
    timer,
    serve: (req) => serve(req.pathAndQuery, req.body),
  });
  return listening._unsafeUnwrap();
}

async function describeAll(pieceBytes: number, framings: readonly Framing[]): Promise<string[]> {
  const server = await listen();
  const cases = Object.values(Handling).flatMap((handling) =>
    framings.map((framing) => describeConnection(server.port, handling, { framing, pieceBytes })),
  );
  const seen = await Promise.all(cases);
  await server.close(timer);
  return seen;
}

void t.test('a connection goes on after a call that ends before its body', async (t) => {
  t.matchSnapshot(await describeAll(PIECE_BYTES, Object.values(Framing)), 'answers');
});

void t.test('a connection closes if the rest of a body is too large to be discarded', async (t) => {
  t.matchSnapshot(await describeAll(LARGE_PIECE_BYTES, [Framing.Length]), 'answers');
});
