import { createConsola, type ConsolaInstance } from 'consola';
import { formatEvent, type Event, type Fields } from './event.ts';
import type { EventLog } from './event_log.ts';

/** Writes each event as one line to standard error. */
export class ConsoleLog implements EventLog {
  readonly #consola: ConsolaInstance;

  constructor() {
    this.#consola = createConsola({
      reporters: [
        {
          log: (record) => {
            const time = record.date.toISOString();
            process.stderr.write(`time=${time} ${String(record.args[0])}\n`);
          },
        },
      ],
    });
  }

  write(event: Event, fields: Fields): void {
    this.#consola.log(formatEvent(event, fields));
  }
}
