/**
 * Metrics of a daemon.
 *
 * ```ts
 * import { Metric, NoMetrics } from 'rhubarbkeel';
 *
 * new NoMetrics().increment(Metric.Calls);
 * ```
 *
 * @module
 */
export * from './deferred_metrics.ts';
export * from './metrics.ts';
export * from './no_metrics.ts';
export * from './prometheus_metrics.ts';
export * from './statsd_metrics.ts';
