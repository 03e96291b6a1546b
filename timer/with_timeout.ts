import type { TimerService } from './timer_service.ts';

/**
 * Waits for a promise, up to a timeout.
 *
 * @param timer The clock.
 * @param timeoutMs Longest wait, in milliseconds.
 * @param pending The promise; a timeout does not cancel its work.
 * @returns The result, or `undefined` after a timeout.
 */
export function withTimeout<T>(
  timer: TimerService,
  timeoutMs: number,
  pending: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const timeout = timer.after(timeoutMs, () => {
      resolve(undefined);
    });
    void pending.then((result) => {
      timeout.cancel();
      resolve(result);
    });
  });
}
