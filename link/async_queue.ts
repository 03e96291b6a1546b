/** A queue that passes items from callbacks to a single reader, in order. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #items: T[] = [];
  #wake: (() => void) | undefined;
  #isEnded = false;

  /**
   * Appends an item; does nothing once the queue has ended.
   *
   * @param item The item to append.
   */
  push(item: T): void {
    if (this.#isEnded) return;
    this.#items.push(item);
    this.#notify();
  }

  /** Ends the queue. Items that are already in it are still read. */
  end(): void {
    this.#isEnded = true;
    this.#notify();
  }

  /** Ends the queue and drops the items that were not read. */
  discard(): void {
    this.#items.length = 0;
    this.end();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      const item = this.#items.shift();
      if (item !== undefined) yield item;
      else if (this.#isEnded) return;
      else await this.#waitForPush();
    }
  }

  #waitForPush(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }

  #notify(): void {
    this.#wake?.();
    this.#wake = undefined;
  }
}
