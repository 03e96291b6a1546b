import { err, ok } from 'neverthrow';
import type { Body, BodyChunk } from '../contract/mod.ts';
import { AsyncQueue } from './async_queue.ts';
import { FLOW_WINDOW_BYTES } from './flow_window.ts';

/** What a {@linkcode StreamBody} reports. */
export interface StreamBodyOptions {
  /** @param bytes Bytes that the reader has taken. */
  onRead: (bytes: number) => void;
  /** Called if the reader stops before the end. */
  onAbandon: () => void;
}

/** A body that arrives in frames. */
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
   * @param bytes The next part.
   * @returns Whether the sender kept to the window.
   */
  push(bytes: Uint8Array): boolean {
    this.#unreadBytes += bytes.length;
    if (this.#unreadBytes > FLOW_WINDOW_BYTES) return false;
    this.#chunks.push(ok(bytes));
    return true;
  }

  /** @param cut Why the body is not whole; null if it is. */
  end(cut: string | null): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    if (cut !== null) this.#chunks.push(err({ detail: cut }));
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
        if (!this.#isEnded) this.#options.onAbandon();
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
