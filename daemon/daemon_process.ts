import { Result, err, ok } from 'neverthrow';
import { Outcome, type Route } from '../contract/mod.ts';
import type { CallerReply, CallerRequest } from '../entry/mod.ts';
import { logTaskFailure, type EventLog } from '../event_log/mod.ts';
import { InstanceStage } from '../instance/mod.ts';
import {
  CallerServer,
  OperatorServer,
  PeerServer,
  TargetClient,
  WsDialer,
  type ListenError,
  type OperatorView,
} from '../link/mod.ts';
import { Metric, type Metrics } from '../metrics/mod.ts';
import type { Settings } from '../settings/mod.ts';
import { RealTimer, wallNow, type Subscription, type TimerService } from '../timer/mod.ts';
import { connectPlatform, type ClosableSource } from './connect_platform.ts';
import { Daemon } from './daemon.ts';
import { loadMetrics } from './load_metrics.ts';

const GAUGE_PERIOD_MS = 1_000;

/** Options of {@linkcode DaemonProcess.start}. */
export interface DaemonProcessOptions {
  settings: Settings;
  log: EventLog;
}

/** A daemon with its servers and clients. */
export class DaemonProcess {
  readonly daemon: Daemon;
  readonly #servers: { callers: CallerServer; peers: PeerServer; operators: OperatorServer };
  readonly #target: TargetClient;
  readonly #platform: ClosableSource;
  readonly #metrics: Metrics;
  readonly #gaugeTimer: Subscription;
  readonly #timer: TimerService;
  readonly #metricsServer: OperatorServer | undefined;

  private constructor(
    daemon: Daemon,
    servers: { callers: CallerServer; peers: PeerServer; operators: OperatorServer },
    parts: {
      target: TargetClient;
      platform: ClosableSource;
      metrics: Metrics;
      gauges: Subscription;
      timer: TimerService;
      metricsServer: OperatorServer | undefined;
    },
  ) {
    this.daemon = daemon;
    this.#servers = servers;
    this.#target = parts.target;
    this.#platform = parts.platform;
    this.#metrics = parts.metrics;
    this.#gaugeTimer = parts.gauges;
    this.#timer = parts.timer;
    this.#metricsServer = parts.metricsServer;
  }

  /**
   * Opens the servers and starts the daemon.
   *
   * @param options See {@linkcode DaemonProcessOptions}.
   * @returns The process, which listens but refuses calls until the daemon serves, or the errors.
   */
  static async start({
    settings,
    log,
  }: DaemonProcessOptions): Promise<Result<DaemonProcess, ListenError[]>> {
    const timer = new RealTimer();
    const { dialect, source: platform, addressReuseMs } = connectPlatform(settings, log, timer);
    const target = new TargetClient(settings.target.url, { ...settings.target, dialect });
    const metrics = loadMetrics(settings, timer);
    const dialer = new WsDialer();
    const daemon = new Daemon({
      settings,
      timer,
      wallNow,
      log,
      metrics,
      dialer,
      platform,
      target,
      addressReuseMs,
    });
    const view = makeOperatorView(daemon, metrics);
    const { metricsListener } = settings;
    const listening = await Promise.all([
      CallerServer.listen({
        ...settings.callers,
        timer,
        dialect,
        isLeaving: () => daemon.stage === InstanceStage.Leaving,
        getTimeouts: () => daemon.configuration?.callerTimeouts,
        onCallFailed: (error) => {
          logTaskFailure(log, error);
        },
        serve: (req) => serveMeasured(daemon, req, { timer, metrics }),
      }),
      PeerServer.listen({ ...settings.peers, serve: (channel) => daemon.accept(channel) }),
      OperatorServer.listen({ ...settings.operators, view }),
    ]);
    const servers = Result.combineWithAllErrors(listening);
    if (servers.isErr()) return err(servers.error);
    const [callers, peers, operators] = servers.value;
    const metricsServer = metricsListener
      ? await OperatorServer.listen({ ...metricsListener, view })
      : undefined;
    if (metricsServer?.isErr()) return err([metricsServer.error]);
    const gauges = timer.every(GAUGE_PERIOD_MS, () => {
      recordGauges(daemon, metrics);
    });
    void daemon.start();
    const parts = {
      target,
      platform,
      metrics,
      gauges,
      timer,
      metricsServer: metricsServer?.unwrapOr(undefined),
    };
    return ok(new DaemonProcess(daemon, { callers, peers, operators }, parts));
  }

  /** @returns Port of the caller server. */
  get callerPort(): number {
    return this.#servers.callers.port;
  }

  /** @returns Port of the peer server. */
  get peerPort(): number {
    return this.#servers.peers.port;
  }

  /** @returns Port of the operator server. */
  get operatorPort(): number {
    return this.#servers.operators.port;
  }

  /**
   * Applies the changed settings that can change at runtime.
   *
   * @param settings The settings as just read.
   */
  reload(settings: Settings): void {
    this.daemon.reload(settings);
  }

  /** Shuts down gracefully: drains the daemon, then closes its servers and clients. */
  async drain(): Promise<void> {
    await this.daemon.drain();
    await this.#servers.callers.close(this.#timer);
    this.#servers.peers.close();
    this.#servers.operators.close();
    this.#metricsServer?.close();
    this.#gaugeTimer.cancel();
    this.#metrics.close();
    await this.#target.close();
    await this.#platform.close();
  }
}

async function serveMeasured(
  daemon: Daemon,
  req: CallerRequest,
  { timer, metrics }: { timer: TimerService; metrics: Metrics },
): Promise<CallerReply> {
  const startMs = timer.now();
  const reply = await daemon.serve(req);
  const outcome = reply.result.isOk() ? Outcome.Answered : reply.result.error.outcome;
  metrics.increment(Metric.Calls, { outcome });
  if (reply.result.isErr())
    metrics.increment(Metric.Refusals, { reason: reply.result.error.reason });
  metrics.timing(Metric.CallMs, timer.now() - startMs, { outcome });
  return reply;
}

function makeOperatorView(daemon: Daemon, metrics: Metrics): OperatorView {
  return {
    isServing: () => daemon.stage === InstanceStage.Live,
    getStatus: () => daemon.status,
    getRoutes: () => (daemon.configuration?.routes.routes ?? []).map(describeRoute),
    renderMetrics: () => metrics.renderText(),
    explain: (callId: string) => daemon.recentEvents.linesWith('call', callId),
  };
}

function describeRoute(route: Route): object {
  return { ...route, homeRegions: route.homeRegions.toString() };
}

function recordGauges(daemon: Daemon, metrics: Metrics): void {
  const { load, links, configurationVersion, keptBytes } = daemon.status;
  metrics.gauge(Metric.InFlight, load.inFlight);
  metrics.gauge(Metric.Limit, load.limit);
  metrics.gauge(Metric.Queued, load.queued);
  const maxCallsPerSecond = load.notice?.maxCallsPerSecond;
  metrics.gauge(Metric.RateLimited, maxCallsPerSecond === undefined ? 0 : 1);
  metrics.gauge(Metric.RateLimit, maxCallsPerSecond ?? 0);
  metrics.gauge(Metric.Links, links);
  metrics.gauge(Metric.ConfigurationVersion, configurationVersion);
  metrics.gauge(Metric.KeptBytes, keptBytes);
}
