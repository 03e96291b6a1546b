import TinyQueue from 'tinyqueue';
import type { Subscription, TimerService } from './timer_service.ts';

interface ScheduledListener {
  dueMs: number;
  sequence: number;
  periodMs: number | undefined;
  listener: () => void;
  isCancelled: boolean;
}

/**
 * A {@linkcode TimerService} whose clock advances only on request, so that runs
 * with the same inputs have the same order of events.
 */
export class VirtualTimer implements TimerService {
  #nowMs = 0;
  #sequence = 0;
  readonly #scheduled = new TinyQueue<ScheduledListener>([], compareDueTimes);

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
   * Advances the clock and calls the listeners that become due, in order.
   *
   * @param durationMs Milliseconds to advance by.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await this.runReadyTasks();
    for (let due = this.#popDue(endMs); due; due = this.#popDue(endMs)) {
      this.#nowMs = Math.max(this.#nowMs, due.dueMs);
      this.#fire(due);
      await this.runReadyTasks();
    }
    this.#nowMs = Math.max(this.#nowMs, endMs);
  }

  /**
   * Advances the clock without calling listeners, as a pause of the process does;
   * the next {@linkcode VirtualTimer.advance} calls those that became due.
   *
   * @param durationMs Milliseconds to advance by.
   */
  jump(durationMs: number): void {
    this.#nowMs += durationMs;
  }

  /** Waits until the tasks that are ready have run. */
  runReadyTasks(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  #add(delayMs: number, periodMs: number | undefined, listener: () => void): Subscription {
    this.#sequence += 1;
    const dueMs = this.#nowMs + delayMs;
    const scheduled = { dueMs, sequence: this.#sequence, periodMs, listener, isCancelled: false };
    this.#scheduled.push(scheduled);
    return {
      cancel: () => {
        scheduled.isCancelled = true;
      },
    };
  }

  #popDue(endMs: number): ScheduledListener | undefined {
    for (;;) {
      const next = this.#scheduled.peek();
      if (!next || next.dueMs > endMs) return undefined;
      this.#scheduled.pop();
      if (!next.isCancelled) return next;
    }
  }

  #fire(due: ScheduledListener): void {
    if (due.periodMs !== undefined) {
      due.dueMs = this.#nowMs + due.periodMs;
      this.#scheduled.push(due);
    }
    due.listener();
  }
}

function compareDueTimes(left: ScheduledListener, right: ScheduledListener): number {
  return left.dueMs - right.dueMs || left.sequence - right.sequence;
}
