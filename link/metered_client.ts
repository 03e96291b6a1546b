import type { Socket } from 'node:net';
import { Client, Pool, buildConnector, errors, type Dispatcher } from 'undici';

/** Largest head of an answer, in bytes; what the library takes by default. */
const HEAD_BYTES = 16_384;
/**
 * Bytes around an answer's content that a connection may read for one call:
 * the largest head, and one and a half times what the library reads at once.
 */
const OVERHEAD_BYTES = 131_072;
/** Bytes around each byte of content, as of a chunk that holds a single one. */
const OVERHEAD_PER_CONTENT_BYTE = 16;

/** A {@linkcode Pool} whose connections are {@linkcode MeteredClient}s. */
export class MeteredPool extends Pool {
  /**
   * @param url Origin of the server.
   * @param options Options of the library.
   */
  constructor(url: string, options: Pool.Options) {
    super(url, {
      ...options,
      // The library makes an error for each line beyond its limit, so the meter's goes first.
      maxHeaderSize: OVERHEAD_BYTES,
      factory: (origin, each) => new MeteredClient(origin, each),
    });
  }
}

/**
 * A connection that is closed once its server sends bytes that are no answer:
 * more of them than any answer has around its content, or while no call waits.
 * The library bounds the lines of a head, but skips line breaks, interim
 * answers, the reason phrase and chunk extensions without counting them.
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
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandlers,
  ): boolean {
    return super.dispatch(options, new MeteredHandler(handler, this.#meter));
  }
}

function toConnector(connect: Client.Options['connect']): buildConnector.connector {
  return typeof connect === 'function' ? connect : buildConnector({ ...connect });
}

/** Compares what a connection reads with the content that its call gets. */
class ReadMeter {
  #socket: Socket | undefined;
  #isWatching = false;
  #isBusy = false;
  #readBefore = 0;
  #contentBytes = 0;

  attach(socket: Socket): void {
    this.#socket = socket;
    this.#isWatching = false;
  }

  begin(): void {
    this.#isBusy = true;
    this.#mark();
    // Listens only after the library does, which would miss bytes that came before it.
    if (!this.#isWatching) this.#watch();
  }

  recordContent(bytes: number): void {
    this.#contentBytes += bytes;
  }

  end(): void {
    this.#isBusy = false;
    this.#mark();
  }

  #watch(): void {
    const socket = this.#socket;
    this.#isWatching = true;
    socket?.prependListener('readable', () => {
      if (socket !== this.#socket) return;
      const bytes = socket.bytesRead - this.#readBefore - this.#contentBytes;
      if (bytes > this.#allowedBytes) socket.destroy(notAnAnswer(bytes));
    });
  }

  get #allowedBytes(): number {
    return this.#isBusy ? OVERHEAD_BYTES + OVERHEAD_PER_CONTENT_BYTE * this.#contentBytes : 0;
  }

  #mark(): void {
    this.#readBefore = this.#socket?.bytesRead ?? 0;
    this.#contentBytes = 0;
  }
}

/** An error by which the library fails no call that still waits to be sent. */
function notAnAnswer(bytes: number): Error {
  return new errors.SocketError(`expected an answer, got ${bytes} bytes that are none`);
}

/** Tells a meter where a call begins and ends, and what content it gets. */
class MeteredHandler implements Dispatcher.DispatchHandlers {
  readonly #inner: Dispatcher.DispatchHandlers;
  readonly #meter: ReadMeter;
  #abort: ((error?: Error) => void) | undefined;

  constructor(inner: Dispatcher.DispatchHandlers, meter: ReadMeter) {
    this.#inner = inner;
    this.#meter = meter;
  }

  onConnect(abort: (err?: Error) => void): void {
    this.#meter.begin();
    this.#abort = abort;
    this.#inner.onConnect?.(abort);
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void, text: string): boolean {
    const bytes = headers.reduce((sum, { length }) => sum + length, 0);
    if (bytes > HEAD_BYTES) {
      this.#abort?.(notAnAnswer(bytes));
      return false;
    }
    return this.#inner.onHeaders?.(status, headers, resume, text) ?? true;
  }

  onData(chunk: Buffer): boolean {
    this.#meter.recordContent(chunk.length);
    return this.#inner.onData?.(chunk) ?? true;
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
