/** Passes items from callbacks to one task that reads them in order. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #items: T[] = [];
  #wake: (() => void) | undefined;
  #isEnded = false;

  /** @param item The next item; ignored after the end. */
  push(item: T): void {
    if (this.#isEnded) return;
    this.#items.push(item);
    this.#notify();
  }

  /** Ends the queue; items pushed before are still read. */
  end(): void {
    this.#isEnded = true;
    this.#notify();
  }

  /** Ends the queue and drops what was not read. */
  discard(): void {
    this.#items.length = 0;
    this.end();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      const item = this.#items.shift();
      if (item !== undefined) yield item;
      else if (this.#isEnded) return;
      else await this.#pushed();
    }
  }

  #pushed(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }

  #notify(): void {
    this.#wake?.();
    this.#wake = undefined;
  }
}
