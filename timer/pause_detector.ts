import type { Subscription, TimerService } from './timer_service.ts';

/** Options of {@linkcode PauseDetector}. */
export interface PauseDetectorOptions {
  /** Period of the check in milliseconds. */
  periodMs?: number;
  /** Silence that counts as a pause, in milliseconds. */
  thresholdMs?: number;
  /** @returns The time of day, in milliseconds; without it, suspensions go unseen. */
  wallNow?: (() => number) | undefined;
}

const DEFAULT_PERIOD_MS = 100;
const DEFAULT_THRESHOLD_MS = 1_000;

/**
 * Detects that the process stood still, by the gap between two checks.
 * Reads `hasPaused` before work is admitted: after a pause, socket events may
 * be handled before any timer fires.
 */
export class PauseDetector {
  readonly #timer: TimerService;
  readonly #thresholdMs: number;
  readonly #subscription: Subscription;
  readonly #wallNow: () => number;
  readonly #listeners = new Set<(gapMs: number) => void>();
  readonly #suspensionListeners = new Set<(gapMs: number) => void>();
  #lastBeatMs: number;
  #lastWallMs: number;

  /**
   * @param timer The source of time.
   * @param options See {@linkcode PauseDetectorOptions}.
   */
  constructor(timer: TimerService, options: PauseDetectorOptions = {}) {
    this.#timer = timer;
    this.#thresholdMs = options.thresholdMs ?? DEFAULT_THRESHOLD_MS;
    this.#wallNow = options.wallNow ?? (() => timer.now());
    this.#lastBeatMs = timer.now();
    this.#lastWallMs = this.#wallNow();
    this.#subscription = timer.every(options.periodMs ?? DEFAULT_PERIOD_MS, () => {
      this.check();
    });
  }

  /**
   * Compares the clock with the last check and notifies listeners of a pause.
   *
   * @returns Whether a pause ended since the last check.
   */
  check(): boolean {
    const nowMs = this.#timer.now();
    const gapMs = nowMs - this.#lastBeatMs;
    this.#lastBeatMs = nowMs;
    const wallMs = this.#wallNow();
    const unseenMs = wallMs - this.#lastWallMs - gapMs;
    this.#lastWallMs = wallMs;
    if (unseenMs >= this.#thresholdMs) {
      for (const listener of this.#suspensionListeners) listener(unseenMs);
    }
    if (gapMs < this.#thresholdMs) return false;
    for (const listener of this.#listeners) listener(gapMs);
    return true;
  }

  /**
   * @param listener Called with the length of each pause in milliseconds.
   */
  onPause(listener: (gapMs: number) => void): void {
    this.#listeners.add(listener);
  }

  /**
   * The steady clock does not count a suspension of the machine, the time of
   * day does; a step of the time of day looks the same.
   *
   * @param listener Called with the length of each possible suspension in milliseconds.
   */
  onSuspension(listener: (gapMs: number) => void): void {
    this.#suspensionListeners.add(listener);
  }

  /** Stops the periodic check. */
  close(): void {
    this.#subscription.cancel();
  }
}
