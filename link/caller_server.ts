import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import {
  EMPTY_BODY,
  BufferedBody,
  cancelBody,
  type Answer,
  type Body,
  type BodyChunk,
  type Headers as CallHeaders,
} from '../contract/mod.ts';
import type { CallerReply, CallerRequest } from '../entry/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import { removeHopByHopHeaders, pairHeaders } from './headers.ts';
import type { HttpDialect } from './http_dialect.ts';
import { listen, type ListenError } from './listen.ts';
import { DefaultDialect } from './default_dialect.ts';
import { toProblem } from './problem.ts';
import { resetSocket } from './reset_socket.ts';

/** Largest head of a request, in bytes; callers stay within it. */
const MAX_HEADER_BYTES = 16_384;
/** Looks at whether the last answers are flushed, and the time between two, in milliseconds. */
const CLOSE_LOOKS = 10;
const CLOSE_LOOK_MS = 20;
const BODILESS_STATUS = new Set([101, 204, 205, 304]);

/** Bounds of callers' connections, in milliseconds. */
export interface CallerTimeouts {
  headerTimeoutMs: number;
  /** Time for which a connection without a call stays open. */
  idleTimeoutMs: number;
}

/** Options of {@linkcode CallerServer.listen}. */
export interface CallerServerOptions {
  host: string;
  /** Port to listen on; zero for any. */
  port: number;
  /** Serves one call. */
  serve: (req: CallerRequest) => Promise<CallerReply>;
  /** The headers in which callers speak; the product's own by default. */
  dialect?: HttpDialect;
  /** @returns Whether callers should open no further call on a connection. */
  isLeaving?: () => boolean;
  /** @returns Bounds in force, if the configuration is known. */
  getTimeouts?: () => CallerTimeouts | undefined;
}

/** Accepts calls over HTTP; one task for each call, written straight down to the end of its answer. */
export class CallerServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /**
   * @param options See {@linkcode CallerServerOptions}.
   * @returns The server once it listens, or why it cannot.
   */
  static async listen(options: CallerServerOptions): Promise<Result<CallerServer, ListenError>> {
    const dialect = options.dialect ?? new DefaultDialect();
    const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (incoming, outgoing) => {
      void serveCall(incoming, outgoing, { ...options, dialect }).then(() => {
        applyLimits(server, options.getTimeouts?.());
      });
    });
    return (await listen(server, options)).map(() => new CallerServer(server));
  }

  /** @returns The port that it listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Stops accepting connections, and ends the open ones; every call must have
   * its answer by then.
   *
   * @param timer The source of time.
   */
  async close(timer: TimerService): Promise<void> {
    const state = { isClosed: false };
    this.#server.close(() => {
      state.isClosed = true;
    });
    for (let look = 0; look < CLOSE_LOOKS && !state.isClosed; look += 1) {
      this.#server.closeIdleConnections();
      await sleep(timer, CLOSE_LOOK_MS);
    }
    this.#server.closeAllConnections();
  }
}

function applyLimits(server: Server, limits: CallerTimeouts | undefined): void {
  if (!limits) return;
  server.headersTimeout = limits.headerTimeoutMs;
  server.keepAliveTimeout = limits.idleTimeoutMs;
}

async function serveCall(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  { serve, isLeaving, dialect }: CallerServerOptions & { dialect: HttpDialect },
): Promise<void> {
  const req = toCallerRequest(incoming, outgoing, dialect);
  const { callId, result, nextKey } = await serve(req);
  if (isLeaving?.()) outgoing.shouldKeepAlive = false;
  if (result.isOk()) {
    const own = dialect.toAnswerHeaders(callId, nextKey);
    await sendAnswer(outgoing, result.value, { own, signal: req.signal });
    return;
  }
  const { status, headers, body } = toProblem(result.error, callId, dialect);
  const own = dialect.toRefusalHeaders(callId, { ...result.error, nextKey });
  outgoing.writeHead(status, { ...own, ...headers, 'content-length': Buffer.byteLength(body) });
  outgoing.end(body);
}

function toCallerRequest(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  dialect: HttpDialect,
): CallerRequest {
  const { headers } = incoming;
  const text = (name: string) => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
  const controller = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return {
    ...dialect.readCallerHeaders(text),
    host: (headers.host ?? '').replace(/:\d+$/, ''),
    method: incoming.method ?? 'GET',
    pathAndQuery: incoming.url ?? '/',
    headers: removeHopByHopHeaders(readHeaders(incoming, dialect)),
    announcedBytes: announcedBytes(incoming),
    body: hasBody(incoming) ? toBody(incoming) : EMPTY_BODY,
    signal: controller.signal,
    cancel: () => {
      controller.abort();
    },
  };
}

function readHeaders(
  incoming: IncomingMessage,
  { reservedHeaders: reserved }: HttpDialect,
): CallHeaders {
  return pairHeaders(incoming.rawHeaders)
    .map(([name, value]): [string, string] => [name.toLowerCase(), value])
    .filter(([name]) => !reserved.has(name));
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function announcedBytes(incoming: IncomingMessage): number | undefined {
  if (!hasBody(incoming)) return 0;
  const length = incoming.headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

/**
 * @param stream A stream of bytes.
 * @returns The same bytes as a body; an error of the stream becomes its cut.
 */
export async function* toBody(stream: AsyncIterable<Uint8Array>): AsyncGenerator<BodyChunk> {
  try {
    for await (const bytes of stream) yield ok(bytes);
  } catch (error) {
    yield err({ detail: error instanceof Error ? error.message : 'the stream broke' });
  }
}

async function sendAnswer(
  outgoing: ServerResponse,
  { status, headers, body }: Answer,
  { own, signal }: { own: Readonly<Record<string, string>>; signal: AbortSignal },
): Promise<void> {
  const sent = [...headers.filter(([name]) => !(name in own)), ...Object.entries(own)].flat();
  if (BODILESS_STATUS.has(status)) {
    outgoing.writeHead(status, sent).end();
    await cancelBody(body);
    return;
  }
  if (body instanceof BufferedBody) {
    const isSized = headers.some(([name]) => name === 'content-length');
    if (!isSized) sent.push('content-length', String(body.bytes.length));
    outgoing.writeHead(status, sent).end(body.bytes);
    return;
  }
  outgoing.writeHead(status, sent);
  await sendBody(outgoing, body, signal);
}

async function sendBody(outgoing: ServerResponse, body: Body, signal: AbortSignal): Promise<void> {
  for await (const chunk of body) {
    if (chunk.isErr()) {
      // A reset, so that no client can take the part that was sent for the whole.
      if (outgoing.socket) resetSocket(outgoing.socket);
      return;
    }
    if (!outgoing.write(chunk.value)) await drained(outgoing, signal);
    if (outgoing.destroyed) return;
  }
  outgoing.end();
}

/** A caller that reads no further is waited for until its call is given up. */
function drained(outgoing: ServerResponse, signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const done = () => {
      outgoing.off('drain', done).off('close', done);
      signal.removeEventListener('abort', done);
      resolve();
    };
    outgoing.on('drain', done).on('close', done);
    signal.addEventListener('abort', done);
  });
}
