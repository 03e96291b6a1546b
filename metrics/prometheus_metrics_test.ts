import t from 'tap';
import { DeferredMetrics, Metric, PrometheusMetrics } from './mod.ts';

void t.test(
  'DeferredMetrics forwards measurements that were made before the library was loaded',
  async (t) => {
    const metrics = new DeferredMetrics();
    metrics.increment(Metric.Calls, { outcome: 'answered' });
    metrics.timing(Metric.CallMs, 7, { outcome: 'answered' });
    metrics.gauge(Metric.InFlight, 3);
    t.equal(await metrics.renderText(), '', 'empty before the library is loaded');
    metrics.resolve(await PrometheusMetrics.load('boards-1'));
    metrics.increment(Metric.Calls, { outcome: 'not-run' });
    metrics.increment(Metric.VersionDisagreements, { entry: 'older' });
    const lines = (await metrics.renderText()).split('\n').filter((line) => !line.startsWith('#'));
    t.matchSnapshot(
      lines.filter((line) =>
        /calls\{|disagreements\{|call_ms_count|le="(5|10)"|in_flight/.test(line),
      ),
      'samples',
    );
  },
);
