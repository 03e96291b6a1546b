import { REPLAY_LIMIT_BYTES } from '../contract/mod.ts';

/** Bytes of one body that may be under way without having been read. */
export const FLOW_WINDOW_BYTES = REPLAY_LIMIT_BYTES;

/** Bounds what a sender of a body may send before the receiver has read it. */
export class FlowWindow {
  #availableBytes = FLOW_WINDOW_BYTES;
  #isClosed = false;
  #wake: (() => void) | undefined;

  /**
   * Waits until so many bytes may be sent.
   *
   * @param bytes Bytes to send, at most {@linkcode FLOW_WINDOW_BYTES}.
   * @returns Whether they may be sent; false once the window is closed.
   */
  async acquire(bytes: number): Promise<boolean> {
    while (!this.#isClosed && this.#availableBytes < bytes) await this.#changed();
    this.#availableBytes -= bytes;
    return !this.#isClosed;
  }

  /** @param bytes Bytes that the receiver has read. */
  grant(bytes: number): void {
    this.#availableBytes += bytes;
    this.#notify();
  }

  /** Ends all waiting; nothing may be sent any more. */
  close(): void {
    this.#isClosed = true;
    this.#notify();
  }

  #changed(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }

  #notify(): void {
    this.#wake?.();
    this.#wake = undefined;
  }
}
