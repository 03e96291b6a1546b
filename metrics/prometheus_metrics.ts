import type { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { Metric, type Metrics, type Tags } from './metrics.ts';

const PREFIX = 'rhubarbkeel_';
/** Upper bounds of the latency buckets, in milliseconds. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];
/** Tag that counters and histograms carry. */
const OUTCOME_TAG = 'outcome';

/** Keeps measurements for scraping, in the text format of Prometheus. */
export class PrometheusMetrics implements Metrics {
  readonly #registry: Registry;
  readonly #calls: Counter;
  readonly #durations: Histogram;
  readonly #gauges: ReadonlyMap<Metric, Gauge>;

  private constructor(
    registry: Registry,
    instruments: { calls: Counter; durations: Histogram; gauges: ReadonlyMap<Metric, Gauge> },
  ) {
    this.#registry = registry;
    this.#calls = instruments.calls;
    this.#durations = instruments.durations;
    this.#gauges = instruments.gauges;
  }

  /**
   * Loads the library, which takes longer than the rest of a daemon's start.
   *
   * @param instanceId Name of the instance, a label of each sample.
   * @returns The metrics.
   */
  static async load(instanceId: string): Promise<PrometheusMetrics> {
    const library = await import('prom-client');
    const registry = new library.Registry();
    registry.setDefaultLabels({ instance: instanceId });
    const registers = [registry];
    const labelNames = [OUTCOME_TAG];
    const calls = new library.Counter({
      name: `${PREFIX}${Metric.Calls}`,
      help: 'Calls that ended, by outcome',
      labelNames,
      registers,
    });
    const durations = new library.Histogram({
      name: `${PREFIX}${Metric.CallMs}`,
      help: 'Time from arrival to answer of a call, in milliseconds',
      labelNames,
      buckets: BUCKETS_MS,
      registers,
    });
    const read = Object.values(Metric).filter(
      (metric) => metric !== Metric.Calls && metric !== Metric.CallMs,
    );
    const gauges = read.map((metric): [Metric, Gauge] => {
      const name = `${PREFIX}${metric}`;
      return [metric, new library.Gauge({ name, help: `Present ${metric}`, registers })];
    });
    return new PrometheusMetrics(registry, { calls, durations, gauges: new Map(gauges) });
  }

  increment(_metric: Metric, tags: Tags = {}): void {
    this.#calls.inc(tags);
  }

  timing(_metric: Metric, elapsedMs: number, tags: Tags = {}): void {
    this.#durations.observe(tags, elapsedMs);
  }

  gauge(metric: Metric, value: number): void {
    this.#gauges.get(metric)?.set(value);
  }

  text(): Promise<string> {
    return this.#registry.metrics();
  }

  close(): void {
    this.#registry.clear();
  }
}
