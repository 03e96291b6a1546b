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
   * Formats the kept events in which a field has a value.
   *
   * @param field Name of the field.
   * @param value The value.
   * @returns The lines of these events, oldest first.
   */
  linesWith(field: string, value: string): string[] {
    const ordered = [...this.#records.slice(this.#next), ...this.#records.slice(0, this.#next)];
    return ordered
      .filter((record) => record.fields[field] === value)
      .map((record) => formatEvent(record.event, record.fields));
  }

  /** @returns The lines of all kept events, oldest first. */
  lines(): string[] {
    const ordered = [...this.#records.slice(this.#next), ...this.#records.slice(0, this.#next)];
    return ordered.map((record) => formatEvent(record.event, record.fields));
  }
}
