import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { serve, type HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { err, ok, type Result } from 'neverthrow';
import {
  EMPTY_BODY,
  WholeBody,
  type Body,
  type BodyChunk,
  type Headers as CallHeaders,
} from '../contract/mod.ts';
import type { CallerReply, CallerRequest } from '../entry/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import { endToEnd, pairHeaders } from './headers.ts';
import type { HttpDialect } from './http_dialect.ts';
import { OwnDialect } from './own_dialect.ts';
import { toProblem } from './problem.ts';
import type { ListenError } from './listen_error.ts';

const MAX_HEADER_BYTES = 16_384;
/** Statuses whose answers have no body. */
/** Looks at whether the last answers are flushed, and the time between two, in milliseconds. */
const CLOSE_LOOKS = 10;
const CLOSE_LOOK_MS = 20;
const BODILESS_STATUS = new Set([101, 204, 205, 304]);
/** Headers of the hop between caller and daemon that are not passed to the target. */

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
}

/** Accepts calls over HTTP. */
export class CallerServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /**
   * @param options See {@linkcode CallerServerOptions}.
   * @returns The server once it listens, or why it cannot.
   */
  static listen(options: CallerServerOptions): Promise<Result<CallerServer, ListenError>> {
    const dialect = options.dialect ?? new OwnDialect();
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.all('*', async (ctx) => {
      const { incoming, outgoing } = ctx.env;
      const req = toCallerRequest(incoming, outgoing, dialect);
      const cut = () => {
        // A reset, so that no client can take the part that was sent for the whole.
        outgoing.socket?.resetAndDestroy();
      };
      const reply = await options.serve(req);
      if (options.isLeaving?.()) outgoing.shouldKeepAlive = false;
      return toResponse(reply, dialect, cut);
    });
    return new Promise((resolve) => {
      const { port, host } = options;
      const serverOptions = { maxHeaderSize: MAX_HEADER_BYTES };
      const server = serve({ fetch: app.fetch, port, hostname: host, serverOptions }, () => {
        resolve(ok(new CallerServer(server)));
      }) as Server;
      server.once('error', ({ message }) => {
        resolve(err({ detail: message }));
      });
    });
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
    let isClosed = false;
    this.#server.close(() => {
      isClosed = true;
    });
    for (let look = 0; look < CLOSE_LOOKS && !isClosed; look += 1) {
      this.#server.closeIdleConnections();
      await sleep(timer, CLOSE_LOOK_MS);
    }
    this.#server.closeAllConnections();
  }
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
    ...dialect.readCaller(text),
    host: (headers.host ?? '').replace(/:\d+$/, ''),
    method: incoming.method ?? 'GET',
    target: incoming.url ?? '/',
    headers: endToEnd(readHeaders(incoming, dialect)),
    announcedBytes: announcedBytes(incoming),
    body: hasBody(incoming) ? readBody(incoming) : EMPTY_BODY,
    signal: controller.signal,
    giveUp: () => {
      controller.abort();
    },
  };
}

function readHeaders(incoming: IncomingMessage, { reserved }: HttpDialect): CallHeaders {
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

/** Reads a stream of the platform as a body; a broken stream is a cut, not an exception. */
export async function* readBody(stream: AsyncIterable<Uint8Array>): AsyncGenerator<BodyChunk> {
  try {
    for await (const bytes of stream) yield ok(bytes);
  } catch (error) {
    yield err({ detail: error instanceof Error ? error.message : 'the stream broke' });
  }
}

function toResponse(
  { callId, result, nextKey }: CallerReply,
  dialect: HttpDialect,
  cut: () => void,
): Response {
  if (result.isErr()) {
    const { status, headers, body } = toProblem(result.error, callId, dialect);
    const own = dialect.refusalHeaders(callId, { ...result.error, nextKey });
    return new Response(body, { status, headers: { ...own, ...headers } });
  }
  const { status, headers, body } = result.value;
  const own = dialect.answerHeaders(callId, nextKey);
  const content = BODILESS_STATUS.has(status) ? null : toResponseBody(body, cut);
  return new Response(content, { status, headers: mergeHeaders(headers, own) });
}

/** A plain record is cheaper for the server than a list, but holds each name only once. */
function mergeHeaders(
  headers: CallHeaders,
  own: Readonly<Record<string, string>>,
): Record<string, string> | [string, string][] {
  const record: Record<string, string> = Object.fromEntries(headers);
  const hasRepeats = Object.keys(record).length < headers.length;
  if (!hasRepeats) return { ...record, ...own };
  const kept = headers.filter(([name]) => !(name in own));
  return [...kept, ...Object.entries(own)].map(([name, value]): [string, string] => [name, value]);
}

function toResponseBody(
  body: Body,
  cut: () => void,
): Uint8Array<ArrayBuffer> | ReadableStream<Uint8Array> {
  if (body instanceof WholeBody) return body.bytes as Uint8Array<ArrayBuffer>;
  const chunks = body[Symbol.asyncIterator]();
  return new ReadableStream<Uint8Array>({
    pull: async (controller) => {
      const item = await chunks.next();
      if (item.done) controller.close();
      else if (item.value.isErr()) {
        cut();
        controller.close();
      } else controller.enqueue(item.value.value);
    },
    cancel: async () => {
      await chunks.return?.();
    },
  });
}
