import { createConsola, type ConsolaInstance } from 'consola';
import sonicBoom from 'sonic-boom';
import { Event, formatEvent, type Fields } from './event.ts';
import type { EventLog } from './event_log.ts';

const STANDARD_OUTPUT = 1;
/** Bytes buffered for a slow reader; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 4_194_304;

/**
 * Writes each event as one line to standard output without blocking on its
 * reader. Lines from one turn of the event loop are written together.
 */
export class ConsoleLog implements EventLog {
  readonly #consola: ConsolaInstance;
  readonly #output: InstanceType<typeof sonicBoom.SonicBoom>;
  #pendingLines: string[] = [];
  #dropped = 0;
  /** Whether the reader has closed standard output. */
  #isClosed = false;

  constructor() {
    this.#output = new sonicBoom.SonicBoom({
      fd: STANDARD_OUTPUT,
      sync: false,
      maxLength: MAX_BUFFERED_BYTES,
    });
    this.#output.on('drop', (text: string | Buffer) => {
      this.#dropped += String(text).split('\n').length - 1;
    });
    // The reader has closed the pipe. The error cannot be logged anywhere, and the daemon keeps running.
    this.#output.on('error', () => {
      this.#isClosed = true;
    });
    this.#consola = createConsola({
      reporters: [
        {
          log: ({ date, args }) => {
            this.#outputLines(date, args as string[]);
          },
        },
      ],
    });
  }

  write(event: Event, fields: Fields): void {
    if (this.#isClosed) return;
    if (this.#pendingLines.length === 0) {
      setImmediate(() => {
        this.#writePending();
      });
    }
    this.#pendingLines.push(formatEvent(event, fields));
  }

  /** Writes all pending lines; to be called before the process exits. */
  flush(): void {
    if (this.#isClosed) return;
    this.#writePending();
    try {
      this.#output.flushSync();
    } catch {
      // The reader closed the pipe during the flush; the pending lines are lost.
      this.#isClosed = true;
    }
  }

  #writePending(): void {
    const [first, ...others] = this.#pendingLines;
    this.#pendingLines = [];
    if (first !== undefined) this.#consola.log(first, ...others);
  }

  #outputLines(date: Date, lines: readonly string[]): void {
    const dropped = this.#dropped;
    this.#dropped = 0;
    const all = dropped > 0 ? [...lines, formatEvent(Event.LinesDropped, { dropped })] : lines;
    const time = date.toISOString();
    this.#output.write(all.map((line) => `time=${time} ${line}\n`).join(''));
  }
}
