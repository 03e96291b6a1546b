import { err, ok } from 'neverthrow';
import type { Body, BodyChunk } from '../contract/mod.ts';
import { AsyncQueue } from './async_queue.ts';
import { FLOW_WINDOW_BYTES } from './flow_window.ts';

/** Options of {@linkcode StreamBody}. */
export interface StreamBodyOptions {
  /**
   * Called after each read.
   *
   * @param bytes Number of bytes that were read.
   */
  onRead: (bytes: number) => void;
  /** Called if the reader stops before the end. */
  onCancel: () => void;
}

/** A body that is received in data frames. */
export class StreamBody implements Body {
  readonly #options: StreamBodyOptions;
  readonly #chunks = new AsyncQueue<BodyChunk>();
  #unreadBytes = 0;
  #isEnded = false;

  /** @param options See {@linkcode StreamBodyOptions}. */
  constructor(options: StreamBodyOptions) {
    this.#options = options;
  }

  /**
   * Appends a part of the body.
   *
   * @param bytes The next part.
   * @returns Whether the sender has kept to the flow control window.
   */
  push(bytes: Uint8Array): boolean {
    this.#unreadBytes += bytes.length;
    if (this.#unreadBytes > FLOW_WINDOW_BYTES) return false;
    this.#chunks.push(ok(bytes));
    return true;
  }

  /**
   * Ends the body.
   *
   * @param detail Why the body is truncated; null if it is complete.
   */
  end(detail: string | null): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    if (detail !== null) this.#chunks.push(err({ detail }));
    this.#chunks.end();
  }

  [Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    const inner = this.#chunks[Symbol.asyncIterator]();
    return {
      next: async () => {
        const item = await inner.next();
        if (!item.done && item.value.isOk()) this.#recordRead(item.value.value.length);
        return item;
      },
      return: () => {
        if (!this.#isEnded) this.#options.onCancel();
        this.end(null);
        return Promise.resolve({ done: true, value: undefined });
      },
    };
  }

  #recordRead(bytes: number): void {
    this.#unreadBytes -= bytes;
    if (!this.#isEnded) this.#options.onRead(bytes);
  }
}
