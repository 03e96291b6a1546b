import {
  DeferredMetrics,
  NoMetrics,
  PrometheusMetrics,
  StatsdMetrics,
  type Metrics,
} from '../metrics/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** Time after a start at which the libraries are loaded, when the daemon serves, in milliseconds. */
const LOAD_DELAY_MS = 3_000;

/**
 * @param settings Settings of the daemon.
 * @param timer The source of time.
 * @returns Metrics that take measurements at once; their library is loaded later, so that it does
 * not hold up the start.
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
