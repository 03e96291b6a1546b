import type { TimerService } from '../timer/mod.ts';

const MS_PER_SECOND = 1_000;

/** Rate and size of a {@linkcode TokenBucket}. */
export interface TokenRate {
  /** Tokens added per second. */
  perSecond: number;
  /** Largest number of tokens. */
  capacity: number;
}

/** Bucket of tokens, of which each call to a target takes one. */
export class TokenBucket {
  readonly #timer: TimerService;
  #tokens: number;
  #refilledAtMs: number;

  /**
   * @param timer The clock.
   * @param tokens Number of tokens at first.
   */
  constructor(timer: TimerService, tokens: number) {
    this.#timer = timer;
    this.#tokens = tokens;
    this.#refilledAtMs = timer.now();
  }

  /** @returns Number of tokens as of the last refill; may have a fraction. */
  get tokens(): number {
    return this.#tokens;
  }

  /**
   * Adds the tokens that are due since the last refill.
   *
   * @param rate Rate at which tokens were due, and size of the bucket.
   */
  refill({ perSecond, capacity }: TokenRate): void {
    const nowMs = this.#timer.now();
    const added = ((nowMs - this.#refilledAtMs) * perSecond) / MS_PER_SECOND;
    this.#tokens = Math.min(capacity, this.#tokens + added);
    this.#refilledAtMs = nowMs;
  }

  /** Takes a token if there is one. */
  take(): void {
    this.#tokens = Math.max(0, this.#tokens - 1);
  }

  /** Puts a token back that was taken for a call that was not sent. */
  putBack(): void {
    this.#tokens += 1;
  }

  /** Removes all tokens. */
  clear(): void {
    this.#tokens = 0;
    this.#refilledAtMs = this.#timer.now();
  }
}
