import type { Subscription, TimerService } from './timer_service.ts';

/** Options of {@linkcode PauseDetector}. */
export interface PauseDetectorOptions {
  /** Check interval, in milliseconds. */
  periodMs?: number;
  /** Time between two checks that counts as a pause, in milliseconds. */
  thresholdMs?: number;
  /** @returns The wall clock time, in milliseconds; without it, suspensions are not detected. */
  wallNow?: (() => number) | undefined;
}

const DEFAULT_PERIOD_MS = 100;
const DEFAULT_THRESHOLD_MS = 1_000;

/**
 * Detects pauses of the process by the time between two checks. Call
 * {@linkcode PauseDetector.check} before work is admitted: after a pause,
 * socket events may be handled before any timer fires.
 */
export class PauseDetector {
  readonly #timer: TimerService;
  readonly #thresholdMs: number;
  readonly #subscription: Subscription;
  readonly #wallNow: () => number;
  readonly #pauseListeners = new Set<(gapMs: number) => void>();
  readonly #suspensionListeners = new Set<(gapMs: number) => void>();
  #lastCheckMs: number;
  #lastWallMs: number;

  /**
   * @param timer The clock.
   * @param options See {@linkcode PauseDetectorOptions}.
   */
  constructor(timer: TimerService, options: PauseDetectorOptions = {}) {
    this.#timer = timer;
    this.#thresholdMs = options.thresholdMs ?? DEFAULT_THRESHOLD_MS;
    this.#wallNow = options.wallNow ?? (() => timer.now());
    this.#lastCheckMs = timer.now();
    this.#lastWallMs = this.#wallNow();
    this.#subscription = timer.every(options.periodMs ?? DEFAULT_PERIOD_MS, () => {
      this.check();
    });
  }

  /**
   * Compares both clocks with the last check and notifies the listeners of a pause or a suspension.
   *
   * @returns Whether the process was paused since the last check.
   */
  check(): boolean {
    const nowMs = this.#timer.now();
    const gapMs = nowMs - this.#lastCheckMs;
    this.#lastCheckMs = nowMs;
    const wallMs = this.#wallNow();
    const suspendedMs = wallMs - this.#lastWallMs - gapMs;
    this.#lastWallMs = wallMs;
    if (suspendedMs >= this.#thresholdMs) {
      for (const listener of this.#suspensionListeners) listener(suspendedMs);
    }
    if (gapMs < this.#thresholdMs) return false;
    for (const listener of this.#pauseListeners) listener(gapMs);
    return true;
  }

  /**
   * Registers a listener for pauses of the process.
   *
   * @param listener Called with the length of each pause, in milliseconds.
   */
  onPause(listener: (gapMs: number) => void): void {
    this.#pauseListeners.add(listener);
  }

  /**
   * Registers a listener for suspensions of the machine. The monotonic clock stops during a
   * suspension, while the wall clock advances; a forward step of the wall clock looks the same.
   *
   * @param listener Called with the length of each possible suspension, in milliseconds.
   */
  onSuspension(listener: (gapMs: number) => void): void {
    this.#suspensionListeners.add(listener);
  }

  /** Stops the periodic check. */
  close(): void {
    this.#subscription.cancel();
  }
}
