import type { Subscription, TimerService } from '../timer/mod.ts';

/** Time between two looks at a link with open exchanges, in milliseconds. */
const LOOK_PERIOD_MS = 100;
/** Silence after which the peer is asked for a sign of life, in milliseconds. */
const PING_AFTER_MS = 200;
/** Time that the peer has for it, in milliseconds: several round trips between regions. */
const PONG_WITHIN_MS = 500;

/** What a {@linkcode StallDetector} needs. */
export interface StallDetectorOptions {
  /** @returns Whether an answer of the peer is awaited. */
  isWaiting: () => boolean;
  ping: () => void;
  /** Called once if the peer gives no sign of life. */
  onStalled: () => void;
}

/**
 * Finds links that have gone silent without an end, while answers are awaited
 * on them; an idle link costs nothing.
 */
export class StallDetector {
  readonly #timer: TimerService;
  readonly #options: StallDetectorOptions;
  #looking: Subscription | undefined;
  #heardAtMs = 0;
  #pingedAtMs: number | undefined;

  /**
   * @param timer The source of time.
   * @param options See {@linkcode StallDetectorOptions}.
   */
  constructor(timer: TimerService, options: StallDetectorOptions) {
    this.#timer = timer;
    this.#options = options;
  }

  /** Notes that an answer is awaited from now on. */
  start(): void {
    if (this.#looking) return;
    this.recordReceived();
    this.#looking = this.#timer.after(LOOK_PERIOD_MS, () => {
      this.#look();
    });
  }

  /** Notes a sign of life. */
  recordReceived(): void {
    this.#heardAtMs = this.#timer.now();
    this.#pingedAtMs = undefined;
  }

  /** Ends the watch. */
  close(): void {
    this.#looking?.cancel();
  }

  #look(): void {
    this.#looking = undefined;
    if (!this.#options.isWaiting()) return;
    const nowMs = this.#timer.now();
    if (this.#pingedAtMs !== undefined && nowMs - this.#pingedAtMs >= PONG_WITHIN_MS) {
      this.#options.onStalled();
      return;
    }
    if (this.#pingedAtMs === undefined && nowMs - this.#heardAtMs >= PING_AFTER_MS) {
      this.#pingedAtMs = nowMs;
      this.#options.ping();
    }
    this.#looking = this.#timer.after(LOOK_PERIOD_MS, () => {
      this.#look();
    });
  }
}
