import type { StatsD } from 'hot-shots';
import type { Metric, Metrics, Tags } from './metrics.ts';

const PREFIX = 'rhubarbkeel.';
const MAX_BUFFER_BYTES = 1_400;

/** Options of {@linkcode StatsdMetrics}. */
export interface StatsdMetricsOptions {
  host: string;
  port: number;
  /** Name of the instance, added to each sample as a tag. */
  instanceId: string;
}

/** Sends measurements over UDP in the StatsD format. */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD;

  private constructor(client: StatsD) {
    this.#client = client;
  }

  /**
   * Loads the library and opens a client.
   *
   * @param options See {@linkcode StatsdMetricsOptions}.
   * @returns The metrics.
   */
  static async load({ host, port, instanceId }: StatsdMetricsOptions): Promise<StatsdMetrics> {
    const { StatsD } = await import('hot-shots');
    const client = new StatsD({
      host,
      port,
      prefix: PREFIX,
      maxBufferSize: MAX_BUFFER_BYTES,
      globalTags: { instance: instanceId },
      errorHandler: () => undefined,
    });
    return new StatsdMetrics(client);
  }

  increment(metric: Metric, tags: Tags = {}): void {
    this.#client.increment(metric, 1, tags);
  }

  timing(metric: Metric, elapsedMs: number, tags: Tags = {}): void {
    this.#client.timing(metric, elapsedMs, tags);
  }

  gauge(metric: Metric, value: number): void {
    this.#client.gauge(metric, value);
  }

  renderText(): Promise<string> {
    return Promise.resolve('');
  }

  close(): void {
    this.#client.close(() => undefined);
  }
}
