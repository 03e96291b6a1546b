import type { Event, Fields } from './event.ts';
import type { EventLog } from './event_log.ts';

/** Writes each event to several logs. */
export class TeeLog implements EventLog {
  readonly #logs: readonly EventLog[];

  /** @param logs The logs to write to, in order. */
  constructor(logs: readonly EventLog[]) {
    this.#logs = logs;
  }

  write(event: Event, fields: Fields): void {
    for (const log of this.#logs) log.write(event, fields);
  }
}
