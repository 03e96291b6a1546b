import type { Subscription, TimerService } from '../timer/mod.ts';

/**
 * Timer of a process that can be paused. While it is paused, no listener is called.
 * After it resumes, the listeners that have become due are called; the time has jumped by then.
 */
export class PausableTimer implements TimerService {
  readonly #timer: TimerService;
  #resumed: Promise<void> | undefined;
  #resume: () => void = () => undefined;

  /** @param timer The underlying timer. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns Whether the process is paused. */
  get isPaused(): boolean {
    return this.#resumed !== undefined;
  }

  now(): number {
    return this.#timer.now();
  }

  after(delayMs: number, listener: () => void): Subscription {
    return this.#deferWhilePaused(
      (callListener) => this.#timer.after(delayMs, callListener),
      listener,
    );
  }

  every(periodMs: number, listener: () => void): Subscription {
    return this.#deferWhilePaused(
      (callListener) => this.#timer.every(periodMs, callListener),
      listener,
    );
  }

  /** Pauses the process. */
  pause(): void {
    this.#resumed ??= new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  /** Resumes the process. */
  resume(): void {
    this.#resumed = undefined;
    this.#resume();
  }

  /** Waits until the process is not paused. */
  async whenRunning(): Promise<void> {
    while (this.#resumed) await this.#resumed;
  }

  #deferWhilePaused(
    subscribe: (callListener: () => void) => Subscription,
    listener: () => void,
  ): Subscription {
    let isCancelled = false;
    let isDeferred = false;
    const callListener = () => {
      if (!this.isPaused) {
        listener();
        return;
      }
      if (isDeferred) return;
      isDeferred = true;
      void this.whenRunning().then(() => {
        isDeferred = false;
        if (!isCancelled) listener();
      });
    };
    const subscription = subscribe(callListener);
    return {
      cancel: () => {
        isCancelled = true;
        subscription.cancel();
      },
    };
  }
}
