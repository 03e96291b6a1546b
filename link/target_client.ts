import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { buildConnector, type Dispatcher } from 'undici';
import { BufferedBody, type Body, type BodyChunk, type Headers } from '../contract/mod.ts';
import {
  TargetFailureKind,
  type ProbeReport,
  type TargetAnswer,
  type TargetFailure,
  type TargetPort,
  type TargetRequest,
} from '../guard/mod.ts';
import { removeHopByHopHeaders } from './headers.ts';
import type { HeaderReader, HttpDialect, TargetHeaderFields } from './http_dialect.ts';
import {
  MeteredPool,
  RejectedHeadError,
  type AnswerHead,
  type CheckedRequestOptions,
} from './metered_client.ts';
import { DefaultDialect } from './default_dialect.ts';
import { toBody } from './to_body.ts';

/** Answers up to this size are buffered before they are forwarded, in bytes. */
const SMALL_ANSWER_BYTES = 65_536;
const CONNECT_TIMEOUT_MS = 500;
const PROBE_TIMEOUT_MS = 1_000;
/** Codes of errors that occur before anything is sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Codes of errors that a reset of the connection causes. */
const RESET_CODES = new Set(['ECONNRESET', 'EPIPE']);

/** Options of {@linkcode TargetClient}. */
export interface TargetClientOptions {
  /** Connections that may be open at once. */
  connections: number;
  /** Path of the target's health endpoint if the configuration has none. */
  healthPath: string;
  /** Translates the headers of the target; {@linkcode DefaultDialect} by default. */
  dialect?: HttpDialect;
}

/** HTTP client for the target beside this daemon; keeps its connections open. */
export class TargetClient implements TargetPort {
  readonly #pool: MeteredPool;
  readonly #healthPath: string;
  readonly #dialect: HttpDialect;
  readonly #resetSockets = new WeakSet<Socket>();

  /**
   * @param url Origin of the target.
   * @param options See {@linkcode TargetClientOptions}.
   */
  constructor(url: string, options: TargetClientOptions) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS, allowHalfOpen: true });
    this.#pool = new MeteredPool(url, {
      connections: options.connections,
      connect: (target, callback) => {
        connect(target, (...connected) => {
          if (connected[1]) this.#watchForReset(connected[1]);
          callback(...connected);
        });
      },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#healthPath = options.healthPath;
    this.#dialect = options.dialect ?? new DefaultDialect();
  }

  async run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>> {
    let socket: Socket | undefined;
    const wasReset = () => socket !== undefined && this.#resetSockets.has(socket);
    try {
      const options: CheckedRequestOptions = {
        method: req.method as Dispatcher.HttpMethod,
        path: req.pathAndQuery,
        headers: this.#makeRequestHeaders(req),
        body: toRequestBody(req.body),
        signal: req.signal,
        checkHead: (head) => this.#findProblem(req, head),
        onSocket: (each) => {
          socket = each;
        },
      };
      const res: Dispatcher.ResponseData = await this.#pool.request(options);
      return await this.#toAnswer(res, wasReset);
    } catch (error) {
      return err(toFailure(error, req.signal));
    }
  }

  async probe(path?: string): Promise<ProbeReport | undefined> {
    try {
      const options: CheckedRequestOptions = {
        method: 'GET',
        path: path ?? this.#healthPath,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        checkHead: (head) =>
          this.#dialect.isProbeReport(this.#readHead(head)) ? undefined : 'not a report',
      };
      const res: Dispatcher.ResponseData = await this.#pool.request(options);
      await res.body.dump();
      const { targetId, coldMs, load, statement } = this.#readHead(toHead(res));
      return { isHealthy: res.statusCode < 500, targetId, coldMs, load, statement };
    } catch {
      return undefined;
    }
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  /**
   * Records whether a connection is reset. A reset that arrives together with the
   * last bytes looks like an ordinary end until something is written; a target
   * skips the line break that is written here, as it would before a request.
   */
  #watchForReset(socket: Socket): void {
    const recordReset = (error?: NodeJS.ErrnoException | null) => {
      if (error?.code !== undefined && RESET_CODES.has(error.code)) this.#resetSockets.add(socket);
    };
    socket.on('error', recordReset);
    socket.on('end', () => {
      socket.write('\r\n', recordReset);
    });
  }

  #makeRequestHeaders(req: TargetRequest): string[] {
    const kept = removeHopByHopHeaders(req.headers).filter(
      ([name]) => name !== 'content-length' && !this.#dialect.reservedHeaders.has(name),
    );
    return [...kept, ...this.#dialect.toTargetHeaders(req)].flat();
  }

  #readHead({ status, headers }: AnswerHead): TargetHeaderFields {
    return this.#dialect.readTargetHeaders(status, makeHeaderReader(headers));
  }

  /** Finds out why an answer does not count as the call's, if it does not. */
  #findProblem(req: TargetRequest, head: AnswerHead): string | undefined {
    const fields = this.#readHead(head);
    if (!this.#dialect.isAnswerTo(req, fields))
      return `status ${head.status} for call "${fields.callId ?? ''}"`;
    return fields.isAuthentic ? undefined : `status ${head.status} unsigned`;
  }

  async #toAnswer(
    res: Dispatcher.ResponseData,
    wasReset: () => boolean,
  ): Promise<Result<TargetAnswer, TargetFailure>> {
    const { statusCode: status } = res;
    const fields = this.#readHead(toHead(res));
    const { targetId, shed, load: reported, statement } = fields;
    const chunks = isUnframed(res) ? throwOnReset(res.body, wasReset) : res.body;
    const body = await bufferSmallBody(res.body, chunks);
    const headers = removeHopByHopHeaders(toHeaders(res.headers));
    return ok({
      status,
      headers,
      body,
      load: undefined,
      targetId,
      shed,
      reported,
      statement,
    });
  }
}

function toRequestBody(body: Body): Uint8Array | Readable | null {
  if (!(body instanceof BufferedBody)) return Readable.from(throwOnTruncation(body));
  return body.bytes.length > 0 ? body.bytes : null;
}

/** Thrown to the client library when the body of a request is truncated. */
class RequestTruncatedError extends Error {}

/** Throws if the body is truncated, so that the library aborts the request and the target sees it. */
async function* throwOnTruncation(body: Body): AsyncGenerator<Uint8Array> {
  for await (const chunk of body) {
    if (chunk.isErr()) throw new RequestTruncatedError(chunk.error.detail);
    yield chunk.value;
  }
}

function waitForNextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

function isUnframed({ headers }: Dispatcher.ResponseData): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Destroys a stream whose remaining content is not needed, and ignores its error. */
function destroyQuietly(stream: Readable): void {
  stream.on('error', () => undefined);
  stream.destroy();
}

/** Why a body that has ended is not complete. */
const RESET_DETAIL = 'reset before the end of an answer';

/**
 * Reads a stream whose connection ends the body. The library treats such a body as complete even if
 * the connection was reset.
 */
async function* throwOnReset(
  stream: AsyncIterable<Uint8Array>,
  isReset: () => boolean,
): AsyncGenerator<Uint8Array> {
  yield* stream;
  await waitForNextTurn();
  if (isReset()) throw new Error(RESET_DETAIL);
}

/** Buffers a small body, so that a truncation is detected before anything is forwarded. */
async function bufferSmallBody(stream: Readable, chunks: AsyncIterable<Uint8Array>): Promise<Body> {
  const parts: Uint8Array[] = [];
  let size = 0;
  const source = chunks[Symbol.asyncIterator]() as AsyncIterator<Uint8Array, undefined>;
  for (;;) {
    const item = await source.next();
    if (item.done === true)
      return new BufferedBody(parts.length === 1 ? getOnlyPart(parts) : Buffer.concat(parts));
    size += item.value.length;
    parts.push(item.value);
    if (size > SMALL_ANSWER_BYTES) return new ReadableBody(stream, continueReading(parts, source));
  }
}

function getOnlyPart(parts: readonly Uint8Array[]): Uint8Array {
  return parts[0] ?? new Uint8Array();
}

async function* continueReading(
  parts: readonly Uint8Array[],
  source: AsyncIterator<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  yield* parts;
  for (;;) {
    const item = await source.next();
    if (item.done) return;
    yield item.value;
  }
}

function toHead({ statusCode, headers }: Dispatcher.ResponseData): AnswerHead {
  return { status: statusCode, headers };
}

function makeHeaderReader(headers: AnswerHead['headers']): HeaderReader {
  return (name) => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
}

function toHeaders(headers: Record<string, string | string[] | undefined>): Headers {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return [];
    const values = Array.isArray(value) ? value : [value];
    return values.map((each): [string, string] => [name, each]);
  });
}

function toFailure(error: unknown, signal: AbortSignal): TargetFailure {
  const { code, message } = error as { code?: string; message?: string };
  const detail = `${code ?? 'error'}: ${message ?? 'no message'}`;
  if (error instanceof RequestTruncatedError)
    return { kind: TargetFailureKind.RequestTruncated, detail };
  if (error instanceof RejectedHeadError)
    return { kind: TargetFailureKind.MalformedAnswer, detail: message ?? '' };
  if (code !== undefined && NOT_SENT_CODES.has(code))
    return { kind: TargetFailureKind.NotSent, detail };
  const kind = signal.aborted ? TargetFailureKind.Cancelled : TargetFailureKind.ConnectionLost;
  return { kind, detail };
}

/** The body of an answer; cancelling it destroys the connection, even before the first read. */
class ReadableBody implements Body {
  readonly #stream: Readable;
  readonly #chunks: AsyncIterable<Uint8Array>;

  constructor(stream: Readable, chunks: AsyncIterable<Uint8Array>) {
    this.#stream = stream;
    this.#chunks = chunks;
  }

  [Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    const inner = toBody(this.#chunks);
    return {
      next: () => inner.next(),
      return: () => {
        destroyQuietly(this.#stream);
        return Promise.resolve({ done: true, value: undefined });
      },
    };
  }
}
