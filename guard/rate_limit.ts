import type { TimerService } from '../timer/mod.ts';
import { TokenBucket, type TokenRate } from './token_bucket.ts';

const MS_PER_SECOND = 1_000;
/** Longest delay that is stated, in milliseconds, for example while the target takes no calls. */
const MAX_DELAY_MS = 10_000;
/**
 * Share of a token that counts as a whole one, since a timer may fire a fraction of a
 * millisecond before the token is complete.
 */
const TOKEN_TOLERANCE = 0.001;

/** Limits the calls that start per second, once the target has named a rate. */
export class RateLimit {
  readonly #bucket: TokenBucket;
  #perSecond: number | undefined;

  /** @param timer The clock. */
  constructor(timer: TimerService) {
    this.#bucket = new TokenBucket(timer, 0);
  }

  /** @returns Whether a rate is in force. */
  get isActive(): boolean {
    return this.#perSecond !== undefined;
  }

  /**
   * Time from one start to the next, in milliseconds; zero if no rate is in force.
   *
   * @returns The interval.
   */
  get startIntervalMs(): number {
    if (this.#perSecond === undefined) return 0;
    return Math.min(MAX_DELAY_MS, MS_PER_SECOND / this.#perSecond);
  }

  /**
   * Time until a call may start, in milliseconds; zero if one may start now.
   *
   * @returns The delay.
   */
  get startDelayMs(): number {
    const rate = this.#rate;
    if (!rate) return 0;
    this.#bucket.refill(rate);
    const missing = 1 - this.#bucket.tokens;
    return missing <= TOKEN_TOLERANCE ? 0 : Math.min(MAX_DELAY_MS, missing * this.startIntervalMs);
  }

  /**
   * Sets the rate. The first rate starts without tokens, as the target has just run calls at a
   * higher one.
   *
   * @param perSecond Calls that may start per second; unlimited if absent.
   */
  setRate(perSecond: number | undefined): void {
    const before = this.#rate;
    if (before) this.#bucket.refill(before);
    else this.#bucket.clear();
    this.#perSecond = perSecond;
  }

  /** Counts a call that starts. */
  recordStart(): void {
    if (this.isActive) this.#bucket.take();
  }

  /** Takes back a start, as nothing was sent to the target. */
  undoStart(): void {
    if (this.isActive) this.#bucket.putBack();
  }

  /** A bucket of one second's calls permits short bursts within the rate. */
  get #rate(): TokenRate | undefined {
    const perSecond = this.#perSecond;
    return perSecond === undefined ? undefined : { perSecond, capacity: Math.max(1, perSecond) };
  }
}
