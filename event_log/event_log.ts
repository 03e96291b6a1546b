import type { Event, Fields } from './event.ts';

/** Receives one record for each event. */
export interface EventLog {
  /**
   * @param event The event.
   * @param fields Its fields, in the order they are printed.
   */
  write(event: Event, fields: Fields): void;
}
