import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Result } from 'neverthrow';
import {
  EMPTY_BODY,
  BufferedBody,
  cancelBody,
  type Answer,
  type Body,
  type Headers as CallHeaders,
} from '../contract/mod.ts';
import type { CallerReply, CallerRequest } from '../entry/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import { CallerBody, DISCARD_LIMIT_BYTES } from './caller_body.ts';
import { removeHopByHopHeaders, pairHeaders } from './headers.ts';
import type { HttpDialect } from './http_dialect.ts';
import { listen, type ListenError } from './listen.ts';
import { DefaultDialect } from './default_dialect.ts';
import { toProblem } from './problem.ts';
import { resetSocket } from './reset_socket.ts';

/** Largest header section of a request, in bytes; callers do not exceed it. */
const MAX_HEADER_BYTES = 16_384;
/** Number of checks on close whether the last answers are flushed, and their interval in milliseconds. */
const CLOSE_CHECKS = 10;
const CLOSE_CHECK_INTERVAL_MS = 20;
const BODILESS_STATUSES = new Set([101, 204, 205, 304]);

/** Timeouts of callers' connections, in milliseconds. */
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
  timer: TimerService;
  /** Serves one call. */
  serve: (req: CallerRequest) => Promise<CallerReply>;
  /** Translates the headers of callers; {@linkcode DefaultDialect} by default. */
  dialect?: HttpDialect;
  /** @returns Whether the daemon is leaving, so that each connection closes after its current call. */
  isLeaving?: () => boolean;
  /**
   * Called when a call fails unexpectedly. Its connection is reset; other calls continue.
   *
   * @param error What was thrown.
   */
  onCallFailed?: (error: unknown) => void;
  /** @returns The timeouts in force, if a configuration is known. */
  getTimeouts?: () => CallerTimeouts | undefined;
}

/** HTTP server for callers. Each call is served by one task until its answer is complete. */
export class CallerServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /**
   * Starts a server.
   *
   * @param options See {@linkcode CallerServerOptions}.
   * @returns The server once it listens, or why it cannot.
   */
  static async listen(options: CallerServerOptions): Promise<Result<CallerServer, ListenError>> {
    const dialect = options.dialect ?? new DefaultDialect();
    const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (incoming, outgoing) => {
      void serveCall(incoming, outgoing, { ...options, dialect })
        .catch((error: unknown) => {
          options.onCallFailed?.(error);
          resetSocket(incoming.socket);
        })
        .finally(() => {
          applyTimeouts(server, options.getTimeouts?.());
        });
    });
    return (await listen(server, options)).map(() => new CallerServer(server));
  }

  /** @returns The port that the server listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Stops accepting connections and closes the open ones. All calls must have
   * completed before.
   *
   * @param timer The clock.
   */
  async close(timer: TimerService): Promise<void> {
    const state = { isClosed: false };
    this.#server.close(() => {
      state.isClosed = true;
    });
    for (let check = 0; check < CLOSE_CHECKS && !state.isClosed; check += 1) {
      this.#server.closeIdleConnections();
      await sleep(timer, CLOSE_CHECK_INTERVAL_MS);
    }
    this.#server.closeAllConnections();
  }
}

function applyTimeouts(server: Server, timeouts: CallerTimeouts | undefined): void {
  if (!timeouts) return;
  server.headersTimeout = timeouts.headerTimeoutMs;
  server.keepAliveTimeout = timeouts.idleTimeoutMs;
}

async function serveCall(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  { serve, isLeaving, dialect, timer }: CallerServerOptions & { dialect: HttpDialect },
): Promise<void> {
  const req = toCallerRequest(incoming, outgoing, dialect);
  const { callId, result, nextKey } = await serve(req);
  const { body } = req;
  const isClosing = isLeaving?.() === true || isRestTooLarge(req);
  if (isClosing) outgoing.shouldKeepAlive = false;
  const discardRest = () =>
    body instanceof CallerBody ? body.discard(timer) : Promise.resolve(true);
  // A connection that is closed before the rest is read is reset, and its answer may be lost.
  const beforeEnd = isClosing ? discardRest : undefined;
  if (result.isOk()) {
    const addedHeaders = dialect.toAnswerHeaders(callId, nextKey);
    await sendAnswer(outgoing, result.value, { addedHeaders, signal: req.signal, beforeEnd });
  } else {
    const addedHeaders = dialect.toRefusalHeaders(callId, { ...result.error, nextKey });
    const problem = toProblem(result.error, callId, dialect);
    await sendRefusal(outgoing, problem, { addedHeaders, beforeEnd });
  }
  if (isClosing) return;
  // The connection carries the next request only after the rest of this one.
  const { socket } = incoming;
  if (!(await discardRest()) && !socket.destroyed) resetSocket(socket);
}

/** Whether the rest of a body is known to be too large to be discarded for the sake of its connection. */
function isRestTooLarge({ body, contentLength = 0 }: CallerRequest): boolean {
  return body instanceof CallerBody && contentLength - body.readBytes > DISCARD_LIMIT_BYTES;
}

/** How an answer is sent. */
interface SendOptions {
  addedHeaders: Readonly<Record<string, string>>;
  /** Called when all bytes are written, before the answer ends and its connection closes. */
  beforeEnd: (() => Promise<unknown>) | undefined;
}

async function sendRefusal(
  outgoing: ServerResponse,
  { status, headers, body }: ReturnType<typeof toProblem>,
  { addedHeaders, beforeEnd }: SendOptions,
): Promise<void> {
  const bytes = Buffer.from(body);
  outgoing.writeHead(status, { ...addedHeaders, ...headers, 'content-length': bytes.length });
  await sendBytes(outgoing, bytes, beforeEnd);
}

async function sendBytes(
  outgoing: ServerResponse,
  bytes: Uint8Array,
  beforeEnd: SendOptions['beforeEnd'],
): Promise<void> {
  if (beforeEnd) {
    outgoing.write(bytes);
    await beforeEnd();
    outgoing.end();
  } else outgoing.end(bytes);
}

function toCallerRequest(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  dialect: HttpDialect,
): CallerRequest {
  const { headers } = incoming;
  const getHeader = (name: string) => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
  const controller = new AbortController();
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  return {
    ...dialect.readCallerHeaders(getHeader),
    host: (headers.host ?? '').replace(/:\d+$/, ''),
    method: incoming.method ?? 'GET',
    pathAndQuery: incoming.url ?? '/',
    headers: removeHopByHopHeaders(readHeaders(incoming, dialect)),
    contentLength: readContentLength(incoming),
    body: hasBody(incoming) ? new CallerBody(incoming) : EMPTY_BODY,
    signal: controller.signal,
    cancel: () => {
      controller.abort();
    },
  };
}

function readHeaders(incoming: IncomingMessage, { reservedHeaders }: HttpDialect): CallHeaders {
  return pairHeaders(incoming.rawHeaders)
    .map(([name, value]): [string, string] => [name.toLowerCase(), value])
    .filter(([name]) => !reservedHeaders.has(name));
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

function readContentLength(incoming: IncomingMessage): number | undefined {
  if (!hasBody(incoming)) return 0;
  const length = incoming.headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

async function sendAnswer(
  outgoing: ServerResponse,
  { status, headers, body }: Answer,
  { addedHeaders, signal, beforeEnd }: SendOptions & { signal: AbortSignal },
): Promise<void> {
  const rawHeaders = [
    ...headers.filter(([name]) => !(name in addedHeaders)),
    ...Object.entries(addedHeaders),
  ].flat();
  if (BODILESS_STATUSES.has(status)) {
    outgoing.writeHead(status, rawHeaders).end();
    await cancelBody(body);
    return;
  }
  if (body instanceof BufferedBody) {
    const isSized = headers.some(([name]) => name === 'content-length');
    if (!isSized) rawHeaders.push('content-length', String(body.bytes.length));
    outgoing.writeHead(status, rawHeaders);
    await sendBytes(outgoing, body.bytes, beforeEnd);
    return;
  }
  outgoing.writeHead(status, rawHeaders);
  await sendBody(outgoing, body, signal);
}

async function sendBody(outgoing: ServerResponse, body: Body, signal: AbortSignal): Promise<void> {
  for await (const chunk of body) {
    if (chunk.isErr()) {
      // Resets the connection, so that no client takes a truncated answer for a complete one.
      if (outgoing.socket) resetSocket(outgoing.socket);
      return;
    }
    if (!outgoing.write(chunk.value)) await waitForDrain(outgoing, signal);
    if (outgoing.destroyed) return;
  }
  outgoing.end();
}

/**
 * Waits until the buffered bytes are sent. A caller that stops reading is waited
 * for until it disconnects or its call is cancelled.
 */
function waitForDrain(outgoing: ServerResponse, signal: AbortSignal): Promise<void> {
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
