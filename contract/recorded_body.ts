import { IDENTIFYING_BYTES, type Body, type BodyChunk, type BodyPrefix } from './body.ts';

/** A body in transit whose start is kept while it is read. */
export class RecordedBody implements Body {
  readonly #source: Body;
  readonly #parts: Uint8Array[] = [];
  #keptBytes = 0;
  #hasEnded = false;
  #isTruncated = false;

  /** @param source The body. */
  constructor(source: Body) {
    this.#source = source;
  }

  /** @returns The start of the body; `undefined` until it or the whole body was read. */
  get prefix(): BodyPrefix | undefined {
    const isLonger = this.#keptBytes > IDENTIFYING_BYTES;
    if (!isLonger && (!this.#hasEnded || this.#isTruncated)) return undefined;
    const bytes = Buffer.concat(this.#parts).subarray(0, IDENTIFYING_BYTES);
    return { bytes, isWhole: !isLonger };
  }

  [Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    const inner = this.#source[Symbol.asyncIterator]();
    return {
      next: async () => {
        const item = await inner.next();
        if (item.done) this.#hasEnded = true;
        else if (item.value.isOk()) this.#record(item.value.value);
        else this.#isTruncated = true;
        return item;
      },
      return: async () => {
        await inner.return?.();
        return { done: true, value: undefined };
      },
    };
  }

  #record(bytes: Uint8Array): void {
    if (this.#keptBytes > IDENTIFYING_BYTES) return;
    this.#keptBytes += bytes.length;
    this.#parts.push(bytes);
  }
}
