import TinyQueue from 'tinyqueue';
import type { Subscription, TimerService } from './timer_service.ts';

interface Entry {
  dueMs: number;
  sequence: number;
  periodMs: number | undefined;
  listener: () => void;
  isCancelled: boolean;
}

/**
 * A {@linkcode TimerService} whose clock moves only when told to, so that a
 * run with the same inputs gives the same order of events.
 */
export class VirtualTimer implements TimerService {
  #nowMs = 0;
  #sequence = 0;
  readonly #entries = new TinyQueue<Entry>([], compareEntries);

  now(): number {
    return this.#nowMs;
  }

  after(delayMs: number, listener: () => void): Subscription {
    return this.#add(Math.max(0, delayMs), undefined, listener);
  }

  every(periodMs: number, listener: () => void): Subscription {
    return this.#add(periodMs, periodMs, listener);
  }

  /**
   * Moves the clock, calling every listener that falls due in order.
   *
   * @param durationMs Milliseconds to move by.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await this.runReadyTasks();
    for (let entry = this.#takeDue(endMs); entry; entry = this.#takeDue(endMs)) {
      this.#nowMs = Math.max(this.#nowMs, entry.dueMs);
      this.#fire(entry);
      await this.runReadyTasks();
    }
    this.#nowMs = Math.max(this.#nowMs, endMs);
  }

  /**
   * Moves the clock without calling listeners, as a process pause does; the
   * listeners that fell due are called by the next advance.
   *
   * @param durationMs Milliseconds to move by.
   */
  jump(durationMs: number): void {
    this.#nowMs += durationMs;
  }

  /** Waits until tasks that are ready to run have run. */
  runReadyTasks(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  #add(delayMs: number, periodMs: number | undefined, listener: () => void): Subscription {
    this.#sequence += 1;
    const dueMs = this.#nowMs + delayMs;
    const entry = { dueMs, sequence: this.#sequence, periodMs, listener, isCancelled: false };
    this.#entries.push(entry);
    return {
      cancel: () => {
        entry.isCancelled = true;
      },
    };
  }

  #takeDue(endMs: number): Entry | undefined {
    for (;;) {
      const next = this.#entries.peek();
      if (!next || next.dueMs > endMs) return undefined;
      this.#entries.pop();
      if (!next.isCancelled) return next;
    }
  }

  #fire(entry: Entry): void {
    if (entry.periodMs !== undefined) {
      entry.dueMs = this.#nowMs + entry.periodMs;
      this.#entries.push(entry);
    }
    entry.listener();
  }
}

function compareEntries(left: Entry, right: Entry): number {
  return left.dueMs - right.dueMs || left.sequence - right.sequence;
}
