import { err, ok, type Result } from 'neverthrow';
import type { TimerService } from '../timer/mod.ts';
import { makeNotRunRefusal, RefusalReason, type Refusal } from './refusal.ts';

/** Timers may fire this much early, in milliseconds; a deadline that a timer waited for has passed. */
const TIMER_TOLERANCE_MS = 1;

/** The moment after which nobody waits for an answer any more. */
export class Deadline {
  readonly #timer: TimerService;
  readonly #atMs: number;

  /**
   * @param timer The source of time.
   * @param leftMs Milliseconds from now.
   */
  constructor(timer: TimerService, leftMs: number) {
    this.#timer = timer;
    this.#atMs = timer.now() + leftMs;
  }

  /** @returns Milliseconds left; negative once it has passed. */
  get leftMs(): number {
    return this.#atMs - this.#timer.now();
  }

  /** @returns Whether it has passed. */
  get hasPassed(): boolean {
    return this.leftMs < TIMER_TOLERANCE_MS;
  }
}

/**
 * Reads the time left that a caller sent along.
 *
 * @param text Whole milliseconds, or `undefined` if the caller set no deadline.
 * @param defaultMs Milliseconds to use without one, and the most that is accepted.
 * @returns Milliseconds left, or a refusal for a malformed or passed deadline.
 */
export function parseDeadlineMs(
  text: string | undefined,
  defaultMs: number,
): Result<number, Refusal> {
  if (text === undefined) return ok(defaultMs);
  if (!/^-?\d{1,9}$/.test(text)) {
    const detail = `deadline must be whole milliseconds, got "${text.slice(0, 40)}"`;
    return err(makeNotRunRefusal(RefusalReason.MalformedDeadline, detail));
  }
  const leftMs = Number(text);
  if (leftMs <= 0) {
    return err(
      makeNotRunRefusal(RefusalReason.DeadlinePassed, `deadline passed, got ${leftMs} ms left`),
    );
  }
  return ok(Math.min(leftMs, defaultMs));
}
