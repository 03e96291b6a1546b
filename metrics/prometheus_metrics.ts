import type { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { Metric, type Metrics, type Tags } from './metrics.ts';

const PREFIX = 'rhubarbkeel_';
/** Upper bounds of the latency buckets, in milliseconds. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];
/** Tag of the latency histogram. */
const OUTCOME_TAG = 'outcome';
/** Help text of each counter, and its tag if it has one. */
const COUNTERS: readonly { metric: Metric; help: string; tag?: string }[] = [
  { metric: Metric.Calls, help: 'Calls that ended, by outcome', tag: OUTCOME_TAG },
  {
    metric: Metric.VersionDisagreements,
    help: "Attempts refused because the guard's rules differ, by the order of the entry's version",
    tag: 'entry',
  },
  { metric: Metric.Refusals, help: 'Calls that were refused, by reason', tag: 'reason' },
  { metric: Metric.TargetCrashes, help: 'Crashes of the target while calls were running' },
];

/** Keeps measurements to be scraped in the text format of Prometheus. */
export class PrometheusMetrics implements Metrics {
  readonly #registry: Registry;
  readonly #counters: ReadonlyMap<Metric, Counter>;
  readonly #durations: Histogram;
  readonly #gauges: ReadonlyMap<Metric, Gauge>;

  private constructor(
    registry: Registry,
    instruments: {
      counters: ReadonlyMap<Metric, Counter>;
      durations: Histogram;
      gauges: ReadonlyMap<Metric, Gauge>;
    },
  ) {
    this.#registry = registry;
    this.#counters = instruments.counters;
    this.#durations = instruments.durations;
    this.#gauges = instruments.gauges;
  }

  /**
   * Loads the library on demand, because that takes longer than the rest of a daemon's start.
   *
   * @param instanceId Name of the instance, added to each sample as a label.
   * @returns The metrics.
   */
  static async load(instanceId: string): Promise<PrometheusMetrics> {
    const library = await import('prom-client');
    const registry = new library.Registry();
    registry.setDefaultLabels({ instance: instanceId });
    const registers = [registry];
    const counters = COUNTERS.map(({ metric, help, tag }): [Metric, Counter] => {
      const name = `${PREFIX}${metric}`;
      const labelNames = tag === undefined ? [] : [tag];
      return [metric, new library.Counter({ name, help, labelNames, registers })];
    });
    const durations = new library.Histogram({
      name: `${PREFIX}${Metric.CallMs}`,
      help: 'Time from arrival to answer of a call, in milliseconds',
      labelNames: [OUTCOME_TAG],
      buckets: BUCKETS_MS,
      registers,
    });
    const counterMetrics = new Set(COUNTERS.map(({ metric }) => metric));
    const gaugeMetrics = Object.values(Metric).filter(
      (metric) => metric !== Metric.CallMs && !counterMetrics.has(metric),
    );
    const gauges = gaugeMetrics.map((metric): [Metric, Gauge] => {
      const name = `${PREFIX}${metric}`;
      return [metric, new library.Gauge({ name, help: `Present ${metric}`, registers })];
    });
    const instruments = { counters: new Map(counters), durations, gauges: new Map(gauges) };
    return new PrometheusMetrics(registry, instruments);
  }

  increment(metric: Metric, tags: Tags = {}): void {
    this.#counters.get(metric)?.inc(tags);
  }

  timing(_metric: Metric, elapsedMs: number, tags: Tags = {}): void {
    this.#durations.observe(tags, elapsedMs);
  }

  gauge(metric: Metric, value: number): void {
    this.#gauges.get(metric)?.set(value);
  }

  renderText(): Promise<string> {
    return this.#registry.metrics();
  }

  close(): void {
    this.#registry.clear();
  }
}
