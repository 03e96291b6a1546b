import { err, ok, type Result } from 'neverthrow';
import type { TimerService } from '../timer/mod.ts';
import { makeNotRunRefusal, RefusalReason, type Refusal } from './refusal.ts';

/** Time by which a timer may fire early, in milliseconds; deadlines count as passed that early. */
const TIMER_TOLERANCE_MS = 1;

/** Time after which an answer is no longer awaited. */
export class Deadline {
  readonly #timer: TimerService;
  readonly #atMs: number;

  /**
   * @param timer The clock.
   * @param leftMs Time from now, in milliseconds.
   */
  constructor(timer: TimerService, leftMs: number) {
    this.#timer = timer;
    this.#atMs = timer.now() + leftMs;
  }

  /** @returns Time left, in milliseconds; negative once the deadline has passed. */
  get leftMs(): number {
    return this.#atMs - this.#timer.now();
  }

  /** @returns Whether the deadline has passed. */
  get hasPassed(): boolean {
    return this.leftMs < TIMER_TOLERANCE_MS;
  }
}

/**
 * Parses the time left that a caller sent.
 *
 * @param text Whole milliseconds, or `undefined` if the caller set no deadline.
 * @param defaultMs Time to use without a deadline, and the upper limit, in milliseconds.
 * @returns Time left in milliseconds, or a refusal of a malformed or passed deadline.
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
