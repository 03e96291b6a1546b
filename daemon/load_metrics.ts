import {
  DeferredMetrics,
  NoMetrics,
  PrometheusMetrics,
  StatsdMetrics,
  type Metrics,
} from '../metrics/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** Delay after which the libraries are loaded, in milliseconds; by then, the daemon serves. */
const LOAD_DELAY_MS = 3_000;

/**
 * Makes the configured metrics. Their library is loaded later, so that it does not delay the start.
 *
 * @param settings Settings of the daemon.
 * @param timer The clock.
 * @returns Metrics that accept measurements immediately.
 */
export function loadMetrics(settings: Settings, timer: TimerService): Metrics {
  const { metrics: statsd, metricsListener, instance } = settings;
  if (!statsd && !metricsListener) return new NoMetrics();
  const deferred = new DeferredMetrics();
  timer.after(LOAD_DELAY_MS, () => {
    const loading = statsd
      ? StatsdMetrics.load({ ...statsd, instanceId: instance.id })
      : PrometheusMetrics.load(instance.id);
    void loading.then((metrics) => {
      deferred.resolve(metrics);
    });
  });
  return deferred;
}
