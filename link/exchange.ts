import { FlowWindow } from './flow_window.ts';
import type { StreamBody } from './stream_body.ts';

/** State of one attempt or settlement at one end of a link. */
export class Exchange {
  readonly stream: number;
  /** Limits how much of its body this end may send. */
  readonly window = new FlowWindow();
  /** The body that the other end sends, once it has started. */
  incoming: StreamBody | undefined;
  #controller: AbortController | undefined;

  /** @param stream Stream number of the exchange on its link. */
  constructor(stream: number) {
    this.stream = stream;
  }

  /** @returns A signal that is aborted on cancellation or termination; created on first use. */
  get signal(): AbortSignal {
    this.#controller ??= new AbortController();
    return this.#controller.signal;
  }

  /** Aborts the signal, because nobody waits for the answer any more. */
  cancel(): void {
    this.#controller?.abort();
  }

  /**
   * Terminates the exchange: cancels it and ends its bodies.
   *
   * @param detail Why the exchange cannot continue.
   */
  terminate(detail: string): void {
    this.cancel();
    this.window.close();
    this.incoming?.end(detail);
  }
}
