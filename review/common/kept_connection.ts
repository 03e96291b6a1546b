/* eslint-disable no-restricted-properties */
/**
 * A connection of a client that it keeps for many requests.
 *
 * @module
 */
import { connect, type Socket } from 'node:net';
import { HOST } from './deployment.js';
import { sleep, type Machine } from './machine.js';

/** A request on a kept connection. */
export interface KeptRequest {
  id: string;
  path: string;
  body: Buffer;
  deadlineMs: number;
  /** Sends the body in chunks of this many bytes, if set; otherwise with its length. */
  pieceBytes?: number;
  /** Time between two pieces. */
  pieceIntervalMs?: number;
}

/** Answer on a kept connection. */
export interface KeptAnswer {
  /** Status of the complete answer; otherwise what happened instead. */
  status: number | 'closed' | 'no answer';
  /** Time from the request's first byte to the end of the answer or of the wait. */
  elapsedMs: number;
  /** Whether the answer asks the client to close the connection. */
  isLast: boolean;
}

/** A connection that carries one request at a time. */
export class KeptConnection {
  readonly #socket: Socket;
  #received = Buffer.alloc(0);
  #isClosed = false;
  #wake: () => void = () => undefined;

  /** @param machine Machine to connect to. */
  constructor(machine: Machine) {
    this.#socket = connect(machine.outbound);
    this.#socket.on('data', (bytes) => {
      this.#received = Buffer.concat([this.#received, bytes]);
      this.#wake();
    });
    this.#socket.on('error', () => undefined);
    this.#socket.on('close', () => {
      this.#isClosed = true;
      this.#wake();
    });
  }

  /**
   * Sends a request to its last byte, and waits for the answer.
   *
   * @param req The request.
   * @param waitMs Time for which the answer is awaited, from the first byte of the request.
   * @returns The answer.
   */
  async request(req: KeptRequest, waitMs: number): Promise<KeptAnswer> {
    const startMs = Date.now();
    this.#received = Buffer.alloc(0);
    this.#socket.write(
      `POST ${req.path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${req.id}\r\n` +
        `Request-Deadline: ${req.deadlineMs}\r\n${formatFraming(req)}\r\n\r\n`,
    );
    await this.#sendBody(req);
    let answer = this.#readAnswer();
    while (!answer && !this.#isClosed && Date.now() - startMs < waitMs) {
      await Promise.race([
        new Promise<void>((resolve) => {
          this.#wake = resolve;
        }),
        sleep(20),
      ]);
      answer = this.#readAnswer();
    }
    const elapsedMs = Date.now() - startMs;
    if (answer) return { ...answer, elapsedMs };
    return { status: this.#isClosed ? 'closed' : 'no answer', elapsedMs, isLast: true };
  }

  /** Closes the connection. */
  close(): void {
    this.#socket.destroy();
  }

  async #sendBody({ body, pieceBytes, pieceIntervalMs = 0 }: KeptRequest): Promise<void> {
    if (pieceBytes === undefined) {
      this.#socket.write(body);
      return;
    }
    for (let start = 0; start < body.length && !this.#isClosed; start += pieceBytes) {
      const piece = body.subarray(start, start + pieceBytes);
      this.#socket.write(`${piece.length.toString(16)}\r\n`);
      this.#socket.write(piece);
      this.#socket.write('\r\n');
      await sleep(pieceIntervalMs);
    }
    this.#socket.write('0\r\n\r\n');
  }

  #readAnswer(): Omit<KeptAnswer, 'elapsedMs'> | undefined {
    const end = this.#received.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const head = this.#received.subarray(0, end).toString('latin1');
    const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
    if (this.#received.length < end + 4 + length) return undefined;
    return { status: Number(head.slice(9, 12)), isLast: /^connection: close/im.test(head) };
  }
}

/** Formats the header that says how the body is sent. */
function formatFraming({ body, pieceBytes }: KeptRequest): string {
  return pieceBytes === undefined ? `Content-Length: ${body.length}` : 'Transfer-Encoding: chunked';
}
