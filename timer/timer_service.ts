/** A registration with a {@linkcode TimerService}; cancelling it twice has no effect. */
export interface Subscription {
  /** Stops further calls of the listener. */
  cancel(): void;
}

/**
 * The only clock that the system measures durations with. It is monotonic; the
 * origin of {@linkcode TimerService.now} is arbitrary.
 */
export interface TimerService {
  /** @returns Milliseconds since an arbitrary origin; never decreases. */
  now(): number;
  /**
   * Calls the listener once.
   *
   * @param delayMs Delay in milliseconds; negative values count as zero.
   * @param listener Called once the delay has passed.
   * @returns The registration.
   */
  after(delayMs: number, listener: () => void): Subscription;
  /**
   * Calls the listener periodically.
   *
   * @param periodMs Period in milliseconds, above zero.
   * @param listener Called once per period.
   * @returns The registration.
   */
  every(periodMs: number, listener: () => void): Subscription;
}
