import { FlowWindow } from './flow_window.ts';
import type { StreamBody } from './stream_body.ts';

/** One attempt or settlement on a link, seen from one of its ends. */
export class Exchange {
  readonly stream: number;
  /** Permits this end to send its body. */
  readonly window = new FlowWindow();
  /** The body that the other end sends, once it has begun. */
  incoming: StreamBody | undefined;
  #controller: AbortController | undefined;

  /** @param stream Number of the exchange on its link. */
  constructor(stream: number) {
    this.stream = stream;
  }

  /** @returns A signal that is aborted when the exchange is cut; made when first read. */
  get signal(): AbortSignal {
    this.#controller ??= new AbortController();
    return this.#controller.signal;
  }

  /** Aborts the signal, since nobody waits for the answer any more. */
  cancel(): void {
    this.#controller?.abort();
  }

  /** @param detail Why the exchange cannot go on. */
  terminate(detail: string): void {
    this.cancel();
    this.window.close();
    this.incoming?.end(detail);
  }
}
