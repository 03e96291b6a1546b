import type { Subscription, TimerService } from './timer_service.ts';

interface Entry {
  dueMs: number;
  sequence: number;
  periodMs: number | undefined;
  listener: () => void;
  cancelled: boolean;
}

/** Turns of the microtask queue that {@linkcode VirtualTimer.settle} waits for. */
const SETTLE_TURNS = 4;

/**
 * A {@linkcode TimerService} whose clock moves only when told to, so that a
 * run with the same inputs gives the same order of events.
 */
export class VirtualTimer implements TimerService {
  #nowMs = 0;
  #sequence = 0;
  readonly #entries = new Set<Entry>();

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
    await this.settle();
    for (let entry = this.#nextDue(endMs); entry; entry = this.#nextDue(endMs)) {
      this.#nowMs = entry.dueMs;
      this.#fire(entry);
      await this.settle();
    }
    this.#nowMs = endMs;
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
  async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  #add(delayMs: number, periodMs: number | undefined, listener: () => void): Subscription {
    this.#sequence += 1;
    const dueMs = this.#nowMs + delayMs;
    const entry: Entry = {
      dueMs,
      sequence: this.#sequence,
      periodMs,
      listener,
      cancelled: false,
    };
    this.#entries.add(entry);
    return {
      cancel: () => {
        entry.cancelled = true;
        this.#entries.delete(entry);
      },
    };
  }

  #nextDue(endMs: number): Entry | undefined {
    let next: Entry | undefined;
    for (const entry of this.#entries) {
      if (entry.dueMs > endMs) continue;
      if (!next || isBefore(entry, next)) next = entry;
    }
    return next;
  }

  #fire(entry: Entry): void {
    if (entry.periodMs === undefined) this.#entries.delete(entry);
    else entry.dueMs = Math.max(this.#nowMs, entry.dueMs) + entry.periodMs;
    entry.listener();
  }
}

function isBefore(left: Entry, right: Entry): boolean {
  if (left.dueMs !== right.dueMs) return left.dueMs < right.dueMs;
  return left.sequence < right.sequence;
}
