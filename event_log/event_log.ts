import type { Event, Fields } from './event.ts';

/** Receives the events of a daemon. */
export interface EventLog {
  /**
   * Records one event.
   *
   * @param event The event.
   * @param fields Its fields, in output order.
   */
  write(event: Event, fields: Fields): void;
}
