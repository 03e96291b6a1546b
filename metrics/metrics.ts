/** Names of the metrics that a daemon sends. */
export enum Metric {
  Calls = 'calls',
  CallMs = 'call_ms',
  InFlight = 'in_flight',
  Limit = 'limit',
  Queued = 'queued',
  Links = 'links',
  ConfigurationVersion = 'configuration_version',
  KeptBytes = 'kept_bytes',
  /** Attempts that a guard refused because its rules are not those that the entry decided by. */
  VersionDisagreements = 'version_disagreements',
}

/** Tags of one sample. */
export type Tags = Record<string, string>;

/** Receives measurements. */
export interface Metrics {
  /**
   * Counts one occurrence.
   *
   * @param metric What happened.
   * @param tags What tells it from others of its kind.
   */
  increment(metric: Metric, tags?: Tags): void;
  /**
   * @param metric What was timed.
   * @param elapsedMs Milliseconds.
   * @param tags What tells it from others of its kind.
   */
  timing(metric: Metric, elapsedMs: number, tags?: Tags): void;
  /**
   * @param metric What was read.
   * @param value Its value now.
   */
  gauge(metric: Metric, value: number): void;
  /** @returns All measurements as text, where they are kept. */
  renderText(): Promise<string>;
  /** Flushes and ends. */
  close(): void;
}
