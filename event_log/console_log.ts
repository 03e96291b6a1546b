import { createConsola, type ConsolaInstance } from 'consola';
import sonicBoom from 'sonic-boom';
import { Event, formatEvent, type Fields } from './event.ts';
import type { EventLog } from './event_log.ts';

const STANDARD_OUTPUT = 1;
/** Bytes that wait for a slow reader; further lines are dropped and counted. */
const MAX_WAITING_BYTES = 4_194_304;

/**
 * Writes each event as one line to standard output, without ever waiting for
 * its reader. Lines of one turn of the event loop are written together.
 */
export class ConsoleLog implements EventLog {
  readonly #consola: ConsolaInstance;
  readonly #output: InstanceType<typeof sonicBoom.SonicBoom>;
  #lines: string[] = [];
  #dropped = 0;
  /** Whether nobody can read the lines any more. */
  #isClosed = false;

  constructor() {
    this.#output = new sonicBoom.SonicBoom({
      fd: STANDARD_OUTPUT,
      sync: false,
      maxLength: MAX_WAITING_BYTES,
    });
    this.#output.on('drop', (text: string | Buffer) => {
      this.#dropped += String(text).split('\n').length - 1;
    });
    // There is nowhere left to say that the reader has gone; the daemon goes on without it.
    this.#output.on('error', () => {
      this.#isClosed = true;
    });
    this.#consola = createConsola({
      reporters: [
        {
          log: ({ date, args }) => {
            this.#writeLines(date, args as string[]);
          },
        },
      ],
    });
  }

  write(event: Event, fields: Fields): void {
    if (this.#isClosed) return;
    if (this.#lines.length === 0) {
      setImmediate(() => {
        this.#pass();
      });
    }
    this.#lines.push(formatEvent(event, fields));
  }

  /** Writes what has not been written yet, before the process ends. */
  flush(): void {
    if (this.#isClosed) return;
    this.#pass();
    try {
      this.#output.flushSync();
    } catch {
      // The reader has just gone; what waits can reach nobody.
      this.#isClosed = true;
    }
  }

  #pass(): void {
    const [first, ...others] = this.#lines;
    this.#lines = [];
    if (first !== undefined) this.#consola.log(first, ...others);
  }

  #writeLines(date: Date, lines: readonly string[]): void {
    const dropped = this.#dropped;
    this.#dropped = 0;
    const all = dropped > 0 ? [...lines, formatEvent(Event.LinesDropped, { dropped })] : lines;
    const time = date.toISOString();
    this.#output.write(all.map((line) => `time=${time} ${line}\n`).join(''));
  }
}
