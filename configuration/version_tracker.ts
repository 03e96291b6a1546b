import { withTimeout, type TimerService } from '../timer/mod.ts';

/** Longest wait for a version, in milliseconds; allows for several round trips between regions. */
const MAX_WAIT_MS = 500;
/** Largest share of a call's remaining time for one wait; the rest remains for other targets. */
const MAX_WAIT_SHARE = 0.25;

interface Waiter {
  version: number;
  resolve: () => void;
}

/** Tracks which configuration versions are applied here or known from peers, and wakes waiters. */
export class VersionTracker {
  readonly #timer: TimerService;
  readonly #waiters = new Set<Waiter>();
  #applied = 0;
  #newestKnown = 0;

  /** @param timer The clock. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns The newest version known to be in force at this daemon or a peer. */
  get newestKnown(): number {
    return this.#newestKnown;
  }

  /**
   * Records a version that is in force at a peer.
   *
   * @param version The version.
   */
  recordKnown(version: number): void {
    this.#newestKnown = Math.max(this.#newestKnown, version);
  }

  /**
   * Records an applied version and resolves all waits for it or an older one.
   *
   * @param version The version that is in force here now.
   */
  recordApplied(version: number): void {
    this.#applied = Math.max(this.#applied, version);
    this.recordKnown(version);
    for (const waiter of this.#waiters) {
      if (waiter.version > this.#applied) continue;
      this.#waiters.delete(waiter);
      waiter.resolve();
    }
  }

  /**
   * Waits until a version is applied, for at most a share of a call's remaining time.
   *
   * @param version The version to wait for.
   * @param leftMs Milliseconds until the call's deadline.
   * @returns Whether this version or a newer one is in force here.
   */
  async waitFor(version: number, leftMs: number): Promise<boolean> {
    if (this.#applied >= version) return true;
    const limitMs = Math.min(leftMs * MAX_WAIT_SHARE, MAX_WAIT_MS);
    if (limitMs <= 0) return false;
    const waiter: Waiter = { version, resolve: () => undefined };
    const applied = new Promise<true>((resolve) => {
      waiter.resolve = () => {
        resolve(true);
      };
    });
    this.#waiters.add(waiter);
    const isApplied = await withTimeout(this.#timer, limitMs, applied);
    this.#waiters.delete(waiter);
    return isApplied ?? false;
  }
}
