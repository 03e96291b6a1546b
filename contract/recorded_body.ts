import type { Body, BodyChunk } from './body.ts';

/** A body in transit of which a copy is kept while it is read, if it is small. */
export class RecordedBody implements Body {
  readonly #source: Body;
  readonly #limitBytes: number;
  #parts: Uint8Array[] = [];
  #size = 0;
  #isComplete = false;

  /**
   * @param source The body.
   * @param limitBytes Largest size of the copy, in bytes.
   */
  constructor(source: Body, limitBytes: number) {
    this.#source = source;
    this.#limitBytes = limitBytes;
  }

  /** @returns The whole body, if it was read to its end and is small. */
  get completeBytes(): Uint8Array | undefined {
    const isKept = this.#isComplete && this.#size <= this.#limitBytes;
    return isKept ? Buffer.concat(this.#parts) : undefined;
  }

  [Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    const inner = this.#source[Symbol.asyncIterator]();
    return {
      next: async () => {
        const item = await inner.next();
        if (item.done) this.#isComplete = true;
        else if (item.value.isOk()) this.#record(item.value.value);
        else this.#size = Infinity;
        return item;
      },
      return: async () => {
        await inner.return?.();
        return { done: true, value: undefined };
      },
    };
  }

  #record(bytes: Uint8Array): void {
    this.#size += bytes.length;
    if (this.#size <= this.#limitBytes) this.#parts.push(bytes);
    else this.#parts = [];
  }
}
