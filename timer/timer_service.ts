/** A registration with a {@linkcode TimerService}; cancelling it twice is harmless. */
export interface Subscription {
  /** Stops further calls of the listener. */
  cancel(): void;
}

/**
 * The only source of time in the system. All durations are milliseconds of a
 * monotonic clock; the origin of {@linkcode TimerService.now} is arbitrary.
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
   * @param listener Called once a period.
   * @returns The registration.
   */
  every(periodMs: number, listener: () => void): Subscription;
}
