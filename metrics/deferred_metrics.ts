import type { Metric, Metrics, Tags } from './metrics.ts';

/** Measurements kept until the real metrics are loaded; further ones are dropped. */
const MAX_KEPT = 4_096;

/** Keeps measurements until the metrics that receive them are loaded, then passes them on. */
export class DeferredMetrics implements Metrics {
  #kept: ((metrics: Metrics) => void)[] = [];
  #loaded: Metrics | undefined;

  /** @param metrics The metrics that receive all measurements from now on. */
  resolve(metrics: Metrics): void {
    this.#loaded = metrics;
    for (const record of this.#kept) record(metrics);
    this.#kept = [];
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

  #record(record: (metrics: Metrics) => void): void {
    if (this.#loaded) record(this.#loaded);
    else if (this.#kept.length < MAX_KEPT) this.#kept.push(record);
  }
}
