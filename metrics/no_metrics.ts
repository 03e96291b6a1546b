import type { Metrics } from './metrics.ts';

/** Drops all measurements. */
export class NoMetrics implements Metrics {
  increment(): void {
    // Nothing is sent.
  }

  timing(): void {
    // Nothing is sent.
  }

  gauge(): void {
    // Nothing is sent.
  }

  renderText(): Promise<string> {
    return Promise.resolve('');
  }

  close(): void {
    // Nothing is open.
  }
}
