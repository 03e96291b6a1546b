import { REPLAY_LIMIT_BYTES } from '../contract/mod.ts';

/** Bytes of one body that may be in flight without having been read. */
export const FLOW_WINDOW_BYTES = REPLAY_LIMIT_BYTES;

/** Flow control window: limits how much of a body may be sent before the receiver has read it. */
export class FlowWindow {
  #availableBytes = FLOW_WINDOW_BYTES;
  #isClosed = false;
  #wake: (() => void) | undefined;

  /**
   * Waits until the window has room for a number of bytes, and takes that room.
   *
   * @param bytes Bytes to send, at most {@linkcode FLOW_WINDOW_BYTES}.
   * @returns Whether they may be sent; false once the window is closed.
   */
  async acquire(bytes: number): Promise<boolean> {
    while (!this.#isClosed && this.#availableBytes < bytes) await this.#waitForChange();
    this.#availableBytes -= bytes;
    return !this.#isClosed;
  }

  /**
   * Makes room for further bytes.
   *
   * @param bytes Bytes that the receiver has read.
   */
  grant(bytes: number): void {
    this.#availableBytes += bytes;
    this.#notify();
  }

  /** Closes the window; pending and later calls of {@linkcode FlowWindow.acquire} return false. */
  close(): void {
    this.#isClosed = true;
    this.#notify();
  }

  #waitForChange(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }

  #notify(): void {
    this.#wake?.();
    this.#wake = undefined;
  }
}
