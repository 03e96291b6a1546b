import type { Subscription, TimerService } from './timer_service.ts';

/** @returns The wall clock time, in milliseconds since the Unix epoch. */
export function wallNow(): number {
  return Date.now();
}

/** Longest delay of the engine's timers, in milliseconds; they fire at once after a longer one. */
const MAX_DELAY_MS = 2_147_483_647;

/** A {@linkcode TimerService} that uses the monotonic clock of the process. */
export class RealTimer implements TimerService {
  now(): number {
    return performance.now();
  }

  after(delayMs: number, listener: () => void): Subscription {
    const handle = setTimeout(listener, Math.min(Math.max(0, delayMs), MAX_DELAY_MS));
    return {
      cancel: () => {
        clearTimeout(handle);
      },
    };
  }

  every(periodMs: number, listener: () => void): Subscription {
    const handle = setInterval(listener, periodMs);
    return {
      cancel: () => {
        clearInterval(handle);
      },
    };
  }
}
