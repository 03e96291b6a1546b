import { createConsola, type ConsolaInstance } from 'consola';
import { formatEvent, type Event, type Fields } from './event.ts';
import type { EventLog } from './event_log.ts';

/**
 * Writes each event as one line to standard error. Lines of one turn of the
 * event loop are written together.
 */
export class ConsoleLog implements EventLog {
  readonly #consola: ConsolaInstance;
  #lines: string[] = [];

  constructor() {
    this.#consola = createConsola({
      reporters: [
        {
          log: ({ date, args }) => {
            writeLines(date, args as string[]);
          },
        },
      ],
    });
  }

  write(event: Event, fields: Fields): void {
    if (this.#lines.length === 0) {
      setImmediate(() => {
        this.flush();
      });
    }
    this.#lines.push(formatEvent(event, fields));
  }

  /** Writes what has not been written yet. */
  flush(): void {
    const [first, ...others] = this.#lines;
    this.#lines = [];
    if (first !== undefined) this.#consola.log(first, ...others);
  }
}

function writeLines(date: Date, lines: readonly string[]): void {
  const time = date.toISOString();
  process.stderr.write(lines.map((line) => `time=${time} ${line}\n`).join(''));
}
