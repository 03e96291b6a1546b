import type { Subscription, TimerService } from '../timer/mod.ts';

/**
 * The clock of one process that can stand still: while it does, no listener is
 * called; afterwards those that fell due are called, and the time has jumped.
 */
export class PausableTimer implements TimerService {
  readonly #timer: TimerService;
  #resumed: Promise<void> | undefined;
  #resume: () => void = () => undefined;

  /** @param timer The source of time. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns Whether the process stands still. */
  get isPaused(): boolean {
    return this.#resumed !== undefined;
  }

  now(): number {
    return this.#timer.now();
  }

  after(delayMs: number, listener: () => void): Subscription {
    return this.#hold((held) => this.#timer.after(delayMs, held), listener);
  }

  every(periodMs: number, listener: () => void): Subscription {
    return this.#hold((held) => this.#timer.every(periodMs, held), listener);
  }

  /** Lets the process stand still. */
  pause(): void {
    this.#resumed ??= new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  /** Lets the process run again. */
  resume(): void {
    this.#resumed = undefined;
    this.#resume();
  }

  /** Waits until the process runs. */
  async whenRunning(): Promise<void> {
    while (this.#resumed) await this.#resumed;
  }

  #hold(subscribe: (held: () => void) => Subscription, listener: () => void): Subscription {
    let isCancelled = false;
    let isHeld = false;
    const held = () => {
      if (!this.isPaused) {
        listener();
        return;
      }
      if (isHeld) return;
      isHeld = true;
      void this.whenRunning().then(() => {
        isHeld = false;
        if (!isCancelled) listener();
      });
    };
    const subscription = subscribe(held);
    return {
      cancel: () => {
        isCancelled = true;
        subscription.cancel();
      },
    };
  }
}
