import { Event } from './event.ts';
import type { EventLog } from './event_log.ts';

/**
 * Logs an unexpected error that has ended a task.
 *
 * @param log The log.
 * @param error What was thrown.
 */
export function logTaskFailure(log: EventLog, error: unknown): void {
  const isError = error instanceof Error;
  const [, place] = isError ? (error.stack ?? '').split('\n') : [];
  log.write(Event.TaskFailed, { error: String(error), at: place?.trim() });
}
