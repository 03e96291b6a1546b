import { formatEvent, type Event, type Fields } from './event.ts';
import type { EventLog } from './event_log.ts';

/** Keeps the most recent events in memory, oldest first. */
export class MemoryLog implements EventLog {
  readonly #capacity: number;
  readonly #records: { event: Event; fields: Fields }[] = [];
  #next = 0;

  /** @param capacity Number of events to keep. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  write(event: Event, fields: Fields): void {
    this.#records[this.#next] = { event, fields };
    this.#next = (this.#next + 1) % this.#capacity;
  }

  /**
   * @param field Name of a field.
   * @param value Value that the field must have.
   * @returns The lines of the matching events, oldest first.
   */
  linesWith(field: string, value: string): string[] {
    const ordered = [...this.#records.slice(this.#next), ...this.#records.slice(0, this.#next)];
    return ordered
      .filter((record) => record.fields[field] === value)
      .map((record) => formatEvent(record.event, record.fields));
  }

  /** @returns Every line kept, oldest first. */
  lines(): string[] {
    const ordered = [...this.#records.slice(this.#next), ...this.#records.slice(0, this.#next)];
    return ordered.map((record) => formatEvent(record.event, record.fields));
  }
}
