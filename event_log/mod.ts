/**
 * Structured logs: one line of key=value pairs for each event.
 *
 * ```ts
 * import { Event, MemoryLog } from 'rhubarbkeel';
 *
 * const log = new MemoryLog(8);
 * log.write(Event.LinkOpened, { peer: 'boards-1' });
 * console.assert(log.lines()[0] === 'event=link-opened peer=boards-1');
 * ```
 *
 * @module
 */
export * from './console_log.ts';
export * from './event.ts';
export * from './event_log.ts';
export * from './log_task_failure.ts';
export * from './memory_log.ts';
export * from './tee_log.ts';
