import type { TimerService } from './timer_service.ts';

/** Options of {@linkcode sleep}. */
export interface SleepOptions {
  /** Ends the wait early when aborted. */
  signal?: AbortSignal;
}

/**
 * Waits for a duration.
 *
 * @param timer The clock.
 * @param durationMs Milliseconds to wait.
 * @param options See {@linkcode SleepOptions}.
 * @returns A promise that resolves after the duration, or as soon as the signal is aborted.
 */
export function sleep(
  timer: TimerService,
  durationMs: number,
  options: SleepOptions = {},
): Promise<void> {
  const { signal } = options;
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = () => {
      subscription.cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const subscription = timer.after(durationMs, finish);
    signal?.addEventListener('abort', finish);
  });
}
