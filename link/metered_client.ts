import type { Socket } from 'node:net';
import { Client, Pool, buildConnector, errors, util, type Dispatcher } from 'undici';
import { isFinalStatus, isHttpStatus } from '../contract/mod.ts';
import { PausedConnection } from './paused_connection.ts';

/** Largest header section of an answer, in bytes; the library's default. */
const MAX_HEADER_BYTES = 16_384;
/**
 * Bytes that a connection may read for one call in addition to the answer's
 * content: the largest header section, and one and a half times what the
 * library reads at once.
 */
const OVERHEAD_BYTES = 131_072;
/** Additional bytes for each byte of content, as in chunks of a single byte. */
const OVERHEAD_PER_CONTENT_BYTE = 16;

/** Status and headers of an answer. */
export interface AnswerHead {
  status: number;
  headers: Record<string, string | string[] | undefined>;
}

/** Options of a request whose answer is checked before its connection may serve another one. */
export type CheckedRequestOptions = Dispatcher.RequestOptions & {
  /**
   * Checks the head of the answer.
   *
   * @param head The head.
   * @returns Why the answer is rejected; `undefined` if it is accepted.
   */
  checkHead: (head: AnswerHead) => string | undefined;
  /**
   * Called before the request is sent.
   *
   * @param socket The connection over which it is sent.
   */
  onSocket?: (socket: Socket) => void;
};

/** Thrown when the head of an answer is rejected, or has a status that HTTP does not; its connection is closed. */
export class RejectedHeadError extends Error {}

/** A {@linkcode Pool} whose connections are {@linkcode MeteredClient}s. */
export class MeteredPool extends Pool {
  /**
   * @param url Origin of the server.
   * @param options Options of the library's pool.
   */
  constructor(url: string, options: Pool.Options) {
    super(url, {
      ...options,
      // The library creates an error for each line beyond its limit, so its limit is high enough for
      // the meter to act first.
      maxHeaderSize: OVERHEAD_BYTES,
      factory: (origin, each) => new MeteredClient(origin, each),
    });
  }
}

/**
 * A connection that is closed when its server sends bytes that belong to no
 * answer: more than an answer can have in addition to its content, or any while
 * no call waits. The library limits the lines of a header section, but skips
 * line breaks, interim answers, the reason phrase and chunk extensions without
 * counting them.
 */
class MeteredClient extends Client {
  readonly #meter: ReadMeter;

  constructor(origin: URL, options: Client.Options) {
    const meter = new ReadMeter();
    const connect = toConnector(options.connect);
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...connected) => {
          if (connected[1]) meter.attach(connected[1]);
          callback(...connected);
        });
      },
    });
    this.#meter = meter;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions & Partial<CheckedRequestOptions>,
    handler: Dispatcher.DispatchHandlers,
  ): boolean {
    const { checkHead, onSocket } = options;
    const meter = this.#meter;
    return super.dispatch(options, new MeteredHandler(handler, { meter, checkHead, onSocket }));
  }
}

function toConnector(connect: Client.Options['connect']): buildConnector.connector {
  return typeof connect === 'function' ? connect : buildConnector({ ...connect });
}

/** Compares the bytes that a connection reads with the content delivered to its call. */
class ReadMeter {
  #socket: Socket | undefined;
  #connection: PausedConnection | undefined;
  #isListening = false;
  #isBusy = false;
  #bytesReadBefore = 0;
  #contentBytes = 0;

  get socket(): Socket | undefined {
    return this.#socket;
  }

  get connection(): PausedConnection | undefined {
    return this.#connection;
  }

  attach(socket: Socket): void {
    this.#socket = socket;
    this.#connection = new PausedConnection(socket);
    this.#isListening = false;
  }

  begin(): void {
    this.#isBusy = true;
    this.#resetCounts();
    // Added only after the library's listener, which would otherwise miss earlier bytes.
    if (!this.#isListening) this.#listen();
  }

  recordContent(bytes: number): void {
    this.#contentBytes += bytes;
  }

  end(): void {
    this.#isBusy = false;
    this.#resetCounts();
  }

  #listen(): void {
    const socket = this.#socket;
    this.#isListening = true;
    socket?.prependListener('readable', () => {
      if (socket !== this.#socket) return;
      const bytes = socket.bytesRead - this.#bytesReadBefore - this.#contentBytes;
      if (bytes > this.#allowedBytes) socket.destroy(makeExcessBytesError(bytes));
    });
  }

  get #allowedBytes(): number {
    return this.#isBusy ? OVERHEAD_BYTES + OVERHEAD_PER_CONTENT_BYTE * this.#contentBytes : 0;
  }

  #resetCounts(): void {
    this.#bytesReadBefore = this.#socket?.bytesRead ?? 0;
    this.#contentBytes = 0;
  }
}

/** Lowest byte that is not ASCII. */
const NON_ASCII_BYTE = 0x80;

/**
 * Encodes a header so that the library, which decodes UTF-8, yields one character for each byte, as the
 * engine's HTTP server does. Other text cannot be sent on unchanged, or at all.
 */
function toDecodable(header: Buffer): Buffer {
  const isAscii = header.every((byte) => byte < NON_ASCII_BYTE);
  return isAscii ? header : Buffer.from(header.toString('latin1'));
}

/** Makes an error that fails only the call in flight, not the calls that wait to be sent. */
function makeExcessBytesError(bytes: number): Error {
  return new errors.SocketError(`expected an answer, got ${bytes} bytes that are none`);
}

/** Options of {@linkcode MeteredHandler}. */
interface MeteredHandlerOptions {
  meter: ReadMeter;
  checkHead: CheckedRequestOptions['checkHead'] | undefined;
  onSocket: CheckedRequestOptions['onSocket'] | undefined;
}

/** Reports the start, the content and the completion of a call to a meter, and checks the answer's head. */
class MeteredHandler implements Dispatcher.DispatchHandlers {
  readonly #inner: Dispatcher.DispatchHandlers;
  readonly #meter: ReadMeter;
  readonly #checkHead: MeteredHandlerOptions['checkHead'];
  readonly #onSocket: MeteredHandlerOptions['onSocket'];
  #abort: ((error?: Error) => void) | undefined;

  constructor(
    inner: Dispatcher.DispatchHandlers,
    { meter, checkHead, onSocket }: MeteredHandlerOptions,
  ) {
    this.#inner = inner;
    this.#meter = meter;
    this.#checkHead = checkHead;
    this.#onSocket = onSocket;
  }

  onConnect(abort: (err?: Error) => void): void {
    this.#meter.begin();
    if (this.#meter.socket) this.#onSocket?.(this.#meter.socket);
    this.#abort = abort;
    this.#inner.onConnect?.(abort);
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void, text: string): boolean {
    const bytes = headers.reduce((sum, { length }) => sum + length, 0);
    if (bytes > MAX_HEADER_BYTES) {
      this.#abort?.(makeExcessBytesError(bytes));
      return false;
    }
    const problem = this.#findProblem(status, headers);
    if (problem !== undefined) {
      this.#abort?.(new RejectedHeadError(problem));
      return false;
    }
    const decodable = headers.map(toDecodable);
    const { connection } = this.#meter;
    const resumeConnection = () => {
      if (connection) connection.resume(resume);
      else resume();
    };
    return this.#pauseUnless(
      this.#inner.onHeaders?.(status, decodable, resumeConnection, text) ?? true,
    );
  }

  /** Records that the reader pauses unless it wants more, and returns whether it does. */
  #pauseUnless(isMoreWanted: boolean): boolean {
    if (!isMoreWanted) this.#meter.connection?.pause();
    return isMoreWanted;
  }

  #findProblem(status: number, headers: Buffer[]): string | undefined {
    // The library asserts that a status is 100 or more, and passes on those above 599.
    if (!isHttpStatus(status)) return `status ${status} is not of HTTP`;
    if (!isFinalStatus(status)) return undefined;
    return this.#checkHead?.({ status, headers: util.parseHeaders(headers) });
  }

  onData(chunk: Buffer): boolean {
    this.#meter.recordContent(chunk.length);
    return this.#pauseUnless(this.#inner.onData?.(chunk) ?? true);
  }

  onComplete(trailers: string[] | null): void {
    this.#meter.end();
    this.#inner.onComplete?.(trailers);
  }

  onError(error: Error): void {
    this.#meter.end();
    this.#inner.onError?.(error);
  }

  onBodySent(chunkSize: number, totalBytesSent: number): void {
    this.#inner.onBodySent?.(chunkSize, totalBytesSent);
  }
}
