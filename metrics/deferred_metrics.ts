import type { Metric, Metrics, Tags } from './metrics.ts';

/** Measurements buffered until the actual metrics are loaded; further ones are dropped. */
const MAX_BUFFERED_MEASUREMENTS = 4_096;

/** Buffers measurements until the actual metrics are loaded, then forwards them. */
export class DeferredMetrics implements Metrics {
  #buffered: ((metrics: Metrics) => void)[] = [];
  #loaded: Metrics | undefined;

  /**
   * Forwards the buffered measurements and all later ones.
   *
   * @param metrics The metrics that receive them.
   */
  resolve(metrics: Metrics): void {
    this.#loaded = metrics;
    for (const measurement of this.#buffered) measurement(metrics);
    this.#buffered = [];
  }

  increment(metric: Metric, tags?: Tags): void {
    this.#record((metrics) => {
      metrics.increment(metric, tags);
    });
  }

  timing(metric: Metric, elapsedMs: number, tags?: Tags): void {
    this.#record((metrics) => {
      metrics.timing(metric, elapsedMs, tags);
    });
  }

  gauge(metric: Metric, value: number): void {
    this.#record((metrics) => {
      metrics.gauge(metric, value);
    });
  }

  async renderText(): Promise<string> {
    return (await this.#loaded?.renderText()) ?? '';
  }

  close(): void {
    this.#loaded?.close();
  }

  #record(measurement: (metrics: Metrics) => void): void {
    if (this.#loaded) measurement(this.#loaded);
    else if (this.#buffered.length < MAX_BUFFERED_MEASUREMENTS) this.#buffered.push(measurement);
  }
}
