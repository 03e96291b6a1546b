import { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { Pool, type Dispatcher } from 'undici';
import { WholeBody, type Body, type BodyChunk, type Headers } from '../contract/mod.ts';
import {
  TargetFailureKind,
  type TargetAnswer,
  type TargetFailure,
  type TargetPort,
  type TargetRequest,
} from '../guard/mod.ts';
import { readBody } from './caller_server.ts';
import { HeaderName, endToEnd } from './headers.ts';

/** Answers up to this size are read into memory before they are passed on, in bytes. */
const SMALL_ANSWER_BYTES = 65_536;
const CONNECT_TIMEOUT_MS = 500;
const PROBE_TIMEOUT_MS = 1_000;
/** Errors that are raised before anything was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Options of {@linkcode TargetClient}. */
export interface TargetClientOptions {
  /** Connections that may be open at once. */
  connections: number;
  /** Path of the target's health endpoint. */
  healthPath: string;
}

/** Calls the target beside this daemon over HTTP, on connections that are kept open. */
export class TargetClient implements TargetPort {
  readonly #pool: Pool;
  readonly #healthPath: string;

  /**
   * @param url Origin of the target.
   * @param options See {@linkcode TargetClientOptions}.
   */
  constructor(url: string, options: TargetClientOptions) {
    this.#pool = new Pool(url, {
      connections: options.connections,
      connectTimeout: CONNECT_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#healthPath = options.healthPath;
  }

  async run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>> {
    try {
      const options: Dispatcher.RequestOptions = {
        method: req.method as Dispatcher.HttpMethod,
        path: req.target,
        headers: toRequestHeaders(req),
        body: toRequestBody(req.body),
        signal: req.signal,
      };
      const res: Dispatcher.ResponseData = await this.#pool.request(options);
      return await toAnswer(res);
    } catch (error) {
      return err(toFailure(error, req.signal));
    }
  }

  async probe(): Promise<boolean> {
    try {
      const res = await this.#pool.request({
        method: 'GET',
        path: this.#healthPath,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      await res.body.dump();
      return res.statusCode < 500;
    } catch {
      return false;
    }
  }

  /** Closes the connections once they are idle. */
  async close(): Promise<void> {
    await this.#pool.close();
  }
}

function toRequestHeaders(req: TargetRequest): string[] {
  const kept = endToEnd(req.headers).filter(
    ([name]) => name !== 'host' && name !== 'content-length',
  );
  return [...kept.flat(), HeaderName.Deadline, String(Math.max(1, Math.floor(req.leftMs)))];
}

function toRequestBody(body: Body): Uint8Array | Readable | null {
  if (!(body instanceof WholeBody)) return Readable.from(throwOnCut(body));
  return body.bytes.length > 0 ? body.bytes : null;
}

/** Raised inside the client library when a request's body is cut off. */
class RequestCutError extends Error {}

/** The client library is told of a cut by an exception, so that the target sees a broken call. */
async function* throwOnCut(body: Body): AsyncGenerator<Uint8Array> {
  for await (const chunk of body) {
    if (chunk.isErr()) throw new RequestCutError(chunk.error.detail);
    yield chunk.value;
  }
}

async function toAnswer(
  res: Dispatcher.ResponseData,
): Promise<Result<TargetAnswer, TargetFailure>> {
  const headers = toHeaders(res.headers);
  const length = Number(res.headers['content-length'] ?? Number.NaN);
  const isSmall = length <= SMALL_ANSWER_BYTES;
  const body = isSmall
    ? new WholeBody(new Uint8Array(await res.body.arrayBuffer()))
    : new ReadableBody(res.body);
  const named = res.headers[HeaderName.TargetIncarnation];
  return ok({
    status: res.statusCode,
    headers: endToEnd(headers),
    body,
    load: undefined,
    incarnation: typeof named === 'string' ? named : undefined,
    shed: res.headers[HeaderName.TargetShed] !== undefined,
  });
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
  if (error instanceof RequestCutError) return { kind: TargetFailureKind.RequestCut, detail };
  if (code !== undefined && NOT_SENT_CODES.has(code))
    return { kind: TargetFailureKind.NotSent, detail };
  const kind = signal.aborted ? TargetFailureKind.Cancelled : TargetFailureKind.Broken;
  return { kind, detail };
}

/** An answer's body; ending it early destroys the connection, even before the first read. */
class ReadableBody implements Body {
  readonly #stream: Readable;

  constructor(stream: Readable) {
    this.#stream = stream;
  }

  [Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    const inner = readBody(this.#stream);
    return {
      next: () => inner.next(),
      return: () => {
        this.#stream.destroy();
        return Promise.resolve({ done: true, value: undefined });
      },
    };
  }
}
