import { err, ok, type Result } from 'neverthrow';
import { WebSocket } from 'ws';
import { AsyncQueue } from './async_queue.ts';
import type { Frame } from './frame.ts';
import type { FrameChannel } from './frame_channel.ts';
import { decodeFrames, encodeFrames, type FrameError } from './frame_codec.ts';

/** Largest message that a peer may send, in bytes. */
export const MAX_MESSAGE_BYTES = 16_777_216;

/**
 * A {@linkcode FrameChannel} over a WebSocket. Sends the frames of one turn of the
 * event loop in one message.
 */
export class WsChannel implements FrameChannel {
  readonly #socket: WebSocket;
  readonly #received = new AsyncQueue<Result<Frame, FrameError>>();
  #pending: Frame[] = [];
  sentBytes = 0;
  receivedBytes = 0;

  /** @param socket An open WebSocket. */
  constructor(socket: WebSocket) {
    this.#socket = socket;
    socket.on('message', (message: Buffer) => {
      this.#receive(message);
    });
    socket.on('close', () => {
      this.#received.end();
    });
    socket.on('error', () => {
      socket.terminate();
    });
  }

  send(frame: Frame): void {
    if (this.#pending.length === 0)
      setImmediate(() => {
        this.#flush();
      });
    this.#pending.push(frame);
  }

  frames(): AsyncIterable<Result<Frame, FrameError>> {
    return this.#received;
  }

  close(): void {
    this.#flush();
    this.#socket.close();
  }

  terminate(): void {
    this.#received.discard();
    this.#socket.terminate();
  }

  #flush(): void {
    const frames = this.#pending;
    this.#pending = [];
    if (frames.length === 0 || this.#socket.readyState !== WebSocket.OPEN) return;
    const message = encodeFrames(frames);
    this.sentBytes += message.length;
    this.#socket.send(message);
  }

  #receive(message: Buffer): void {
    this.receivedBytes += message.length;
    const decoded = decodeFrames(message);
    if (decoded.isErr()) {
      this.#received.push(err(decoded.error));
      this.#received.end();
      return;
    }
    for (const frame of decoded.value) this.#received.push(ok(frame));
  }
}
