import type { Subscription, TimerService } from '../timer/mod.ts';

/** Time between two checks of a link with open exchanges, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Time without a received frame after which the peer is pinged, in milliseconds. */
const PING_AFTER_MS = 200;
/** Time for the peer to answer a ping, in milliseconds; several round trips between regions. */
const PONG_TIMEOUT_MS = 500;

/** Options of {@linkcode StallDetector}. */
export interface StallDetectorOptions {
  /** @returns Whether an answer from the peer is awaited. */
  isWaiting: () => boolean;
  ping: () => void;
  /** Called once if nothing is received after a ping. */
  onStalled: () => void;
}

/**
 * Detects that a link is silent but not closed while answers are awaited on it.
 * Does not check an idle link.
 */
export class StallDetector {
  readonly #timer: TimerService;
  readonly #options: StallDetectorOptions;
  #nextCheck: Subscription | undefined;
  #receivedAtMs = 0;
  #pingedAtMs: number | undefined;

  /**
   * @param timer The clock.
   * @param options See {@linkcode StallDetectorOptions}.
   */
  constructor(timer: TimerService, options: StallDetectorOptions) {
    this.#timer = timer;
    this.#options = options;
  }

  /** Starts checking the link, because an answer is awaited from now on. */
  start(): void {
    if (this.#nextCheck) return;
    this.recordReceived();
    this.#nextCheck = this.#timer.after(CHECK_INTERVAL_MS, () => {
      this.#check();
    });
  }

  /** Records that a frame was received. */
  recordReceived(): void {
    this.#receivedAtMs = this.#timer.now();
    this.#pingedAtMs = undefined;
  }

  /** Stops checking the link. */
  close(): void {
    this.#nextCheck?.cancel();
  }

  #check(): void {
    this.#nextCheck = undefined;
    if (!this.#options.isWaiting()) return;
    const nowMs = this.#timer.now();
    if (this.#pingedAtMs !== undefined && nowMs - this.#pingedAtMs >= PONG_TIMEOUT_MS) {
      this.#options.onStalled();
      return;
    }
    if (this.#pingedAtMs === undefined && nowMs - this.#receivedAtMs >= PING_AFTER_MS) {
      this.#pingedAtMs = nowMs;
      this.#options.ping();
    }
    this.#nextCheck = this.#timer.after(CHECK_INTERVAL_MS, () => {
      this.#check();
    });
  }
}
