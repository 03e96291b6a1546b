/** Names of the metrics that a daemon sends. */
export enum Metric {
  Calls = 'calls',
  CallMs = 'call_ms',
  /** Calls that were refused, by reason. */
  Refusals = 'refusals',
  /** Crashes of the daemon's own target while calls were running. */
  TargetCrashes = 'target_crashes',
  InFlight = 'in_flight',
  Limit = 'limit',
  Queued = 'queued',
  /** Whether the target has named a rate of calls that it takes: 1 if it has, 0 otherwise. */
  RateLimited = 'rate_limited',
  /** Calls per second that the target takes; zero unless it is rate-limited. */
  RateLimit = 'rate_limit',
  Links = 'links',
  ConfigurationVersion = 'configuration_version',
  KeptBytes = 'kept_bytes',
  /** Attempts that a guard refused because its rules differ from those that the entry applied. */
  VersionDisagreements = 'version_disagreements',
}

/** Tags of one sample. */
export type Tags = Record<string, string>;

/** Records measurements. */
export interface Metrics {
  /**
   * Increments a counter.
   *
   * @param metric The counter.
   * @param tags Tags of the sample.
   */
  increment(metric: Metric, tags?: Tags): void;
  /**
   * Records a duration.
   *
   * @param metric The histogram.
   * @param elapsedMs The duration, in milliseconds.
   * @param tags Tags of the sample.
   */
  timing(metric: Metric, elapsedMs: number, tags?: Tags): void;
  /**
   * Sets a gauge.
   *
   * @param metric The gauge.
   * @param value Its current value.
   */
  gauge(metric: Metric, value: number): void;
  /** @returns All metrics in the text format of Prometheus; empty if they are not kept for scraping. */
  renderText(): Promise<string>;
  /** Flushes pending samples and releases all resources. */
  close(): void;
}
