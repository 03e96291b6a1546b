import { FlowWindow } from './flow_window.ts';
import type { StreamBody } from './stream_body.ts';

/** One attempt or settlement on a link, seen from one of its ends. */
export class Exchange {
  readonly stream: number;
  /** Permits this end to send its body. */
  readonly window = new FlowWindow();
  /** Aborted when the other end gives up or the link ends. */
  readonly controller = new AbortController();
  /** The body that the other end sends, once it has begun. */
  incoming: StreamBody | undefined;

  /** @param stream Number of the exchange on its link. */
  constructor(stream: number) {
    this.stream = stream;
  }

  /** @param detail Why the exchange cannot go on. */
  cut(detail: string): void {
    this.controller.abort();
    this.window.close();
    this.incoming?.end(detail);
  }
}
