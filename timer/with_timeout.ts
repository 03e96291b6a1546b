import type { TimerService } from './timer_service.ts';

/**
 * Waits for a result for a bounded time.
 *
 * @param timer The source of time.
 * @param durationMs Longest wait, in milliseconds.
 * @param pending The result to wait for; it goes on when the time is over.
 * @returns The result, or nothing if it did not come in time.
 */
export function withTimeout<T>(
  timer: TimerService,
  durationMs: number,
  pending: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const expiry = timer.after(durationMs, () => {
      resolve(undefined);
    });
    void pending.then((result) => {
      expiry.cancel();
      resolve(result);
    });
  });
}
