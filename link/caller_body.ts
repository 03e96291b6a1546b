import type { Readable } from 'node:stream';
import { err } from 'neverthrow';
import type { Body, BodyChunk } from '../contract/mod.ts';
import { withTimeout, type TimerService } from '../timer/mod.ts';
import { toBody } from './to_body.ts';

/** Largest rest of a body that is discarded to keep a connection, in bytes. */
export const DISCARD_LIMIT_BYTES = 16_777_216;
/** Longest time for which the rest of a body is awaited, in milliseconds. */
const DISCARD_LIMIT_MS = 10_000;

const DETACHED: BodyChunk = err({ detail: 'the call has ended' });

/**
 * Body of a caller's request. Its connection carries no further request until the body has been
 * read to its end, also if the call ends before that.
 */
export class CallerBody implements Body {
  readonly #chunks: AsyncIterator<BodyChunk>;
  #isDetached = false;
  #isComplete = false;
  #readBytes = 0;

  /** @param stream The request. */
  constructor(stream: Readable) {
    this.#chunks = toBody(stream);
  }

  /** @returns Whether all of it has been read. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** @returns Number of bytes that were read so far. */
  get readBytes(): number {
    return this.#readBytes;
  }

  /** Reading stops without an effect on the connection, which the answer still needs. */
  [Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    return {
      next: async () => {
        if (this.#isComplete) return { done: true, value: undefined };
        return this.#isDetached ? { done: false, value: DETACHED } : this.#readNext();
      },
      return: () => {
        this.#isDetached = true;
        return Promise.resolve({ done: true, value: undefined });
      },
    };
  }

  /**
   * Detaches the reader, and discards the rest of the body.
   *
   * @param timer The clock.
   * @returns Whether the body has ended within the limits of size and time.
   */
  async discard(timer: TimerService): Promise<boolean> {
    this.#isDetached = true;
    if (this.#isComplete) return true;
    await withTimeout(timer, DISCARD_LIMIT_MS, this.#readRest(this.#readBytes));
    return this.#isComplete;
  }

  async #readRest(fromBytes: number): Promise<void> {
    while (!this.#isComplete && this.#readBytes - fromBytes <= DISCARD_LIMIT_BYTES)
      await this.#readNext();
  }

  async #readNext(): Promise<IteratorResult<BodyChunk, undefined>> {
    const item = (await this.#chunks.next()) as IteratorResult<BodyChunk, undefined>;
    if (item.done === true || item.value.isErr()) this.#isComplete = true;
    else this.#readBytes += item.value.value.length;
    return item;
  }
}
