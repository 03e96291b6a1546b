import { withTimeout, type TimerService } from '../timer/mod.ts';

/** Longest wait for a version that a peer has; some round trips between regions, in milliseconds. */
const CATCH_UP_MS = 500;
/** Part of a call's time that one wait may take; the rest is for other targets. */
const CATCH_UP_SHARE = 0.25;

interface Waiter {
  version: number;
  resolve: () => void;
}

/** Versions of the configuration that a daemon has in force or has heard of, and who waits for them. */
export class VersionTracker {
  readonly #timer: TimerService;
  readonly #waiting = new Set<Waiter>();
  #reached = 0;
  #heard = 0;

  /** @param timer The source of time. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns The newest version that this daemon or a peer of it has in force. */
  get newestKnown(): number {
    return this.#heard;
  }

  /** @param version A version that a peer has in force. */
  recordKnown(version: number): void {
    this.#heard = Math.max(this.#heard, version);
  }

  /**
   * Lets everyone go on who waits for this version or an older one.
   *
   * @param version The version that has come into force here.
   */
  recordApplied(version: number): void {
    this.#reached = Math.max(this.#reached, version);
    this.recordKnown(version);
    for (const each of this.#waiting) {
      if (each.version > this.#reached) continue;
      this.#waiting.delete(each);
      each.resolve();
    }
  }

  /**
   * Waits for a version for a part of a call's time.
   *
   * @param version The version to wait for.
   * @param leftMs Milliseconds until the call's deadline.
   * @returns Whether this version or a newer one is in force here.
   */
  async waitFor(version: number, leftMs: number): Promise<boolean> {
    if (this.#reached >= version) return true;
    const limitMs = Math.min(leftMs * CATCH_UP_SHARE, CATCH_UP_MS);
    if (limitMs <= 0) return false;
    const waiter: Waiter = { version, resolve: () => undefined };
    const reached = new Promise<true>((resolve) => {
      waiter.resolve = () => {
        resolve(true);
      };
    });
    this.#waiting.add(waiter);
    const isReached = await withTimeout(this.#timer, limitMs, reached);
    this.#waiting.delete(waiter);
    return isReached ?? false;
  }
}
