import { Result, err, ok } from 'neverthrow';
import { Outcome, type Route } from '../contract/mod.ts';
import type { CallerReply, CallerRequest } from '../entry/mod.ts';
import type { EventLog } from '../event_log/mod.ts';
import { LifeStage } from '../instance/mod.ts';
import {
  CallerServer,
  OperatorServer,
  OwnDialect,
  PeerServer,
  TargetClient,
  WsDialer,
  type HttpDialect,
  type ListenError,
} from '../link/mod.ts';
import { Metric, NoMetrics, StatsdMetrics, type Metrics } from '../metrics/mod.ts';
import { HttpSource, type DocumentSource } from '../configuration/mod.ts';
import { PlatformDialect, StoreClient, StoreSource } from '../platform/mod.ts';
import { PlatformKind, type Settings } from '../settings/mod.ts';
import { RealTimer, type Subscription, type TimerService } from '../timer/mod.ts';
import { Daemon } from './daemon.ts';

const GAUGE_PERIOD_MS = 1_000;

/** Options of {@linkcode DaemonProcess.start}. */
export interface DaemonProcessOptions {
  settings: Settings;
  log: EventLog;
}

/** A daemon with its servers and connections. */
export class DaemonProcess {
  readonly daemon: Daemon;
  readonly #servers: { callers: CallerServer; peers: PeerServer; operators: OperatorServer };
  readonly #target: TargetClient;
  readonly #platform: ClosableSource;
  readonly #metrics: Metrics;
  readonly #gauges: Subscription;
  readonly #timer: TimerService;

  private constructor(
    daemon: Daemon,
    servers: { callers: CallerServer; peers: PeerServer; operators: OperatorServer },
    parts: {
      target: TargetClient;
      platform: ClosableSource;
      metrics: Metrics;
      gauges: Subscription;
      timer: TimerService;
    },
  ) {
    this.daemon = daemon;
    this.#servers = servers;
    this.#target = parts.target;
    this.#platform = parts.platform;
    this.#metrics = parts.metrics;
    this.#gauges = parts.gauges;
    this.#timer = parts.timer;
  }

  /**
   * Opens the servers and starts the daemon.
   *
   * @param options See {@linkcode DaemonProcessOptions}.
   * @returns The process, listening, or why it cannot; calls are refused until the daemon serves.
   */
  static async start({
    settings,
    log,
  }: DaemonProcessOptions): Promise<Result<DaemonProcess, ListenError[]>> {
    const timer = new RealTimer();
    const { dialect, source: platform } = connectPlatform(settings, log, timer);
    const target = new TargetClient(settings.target.url, { ...settings.target, dialect });
    const metrics = makeMetrics(settings);
    const dialer = new WsDialer();
    const daemon = new Daemon({ settings, timer, log, dialer, platform, target });
    const listening = await Promise.all([
      CallerServer.listen({
        ...settings.callers,
        dialect,
        isLeaving: () => daemon.stage === LifeStage.Leaving,
        limits: () => daemon.configuration?.callerLimits,
        serve: (req) => serveMeasured(daemon, req, { timer, metrics }),
      }),
      PeerServer.listen({ ...settings.peers, serve: (channel) => daemon.accept(channel) }),
      OperatorServer.listen({ ...settings.operators, view: operatorView(daemon) }),
    ]);
    const servers = Result.combineWithAllErrors(listening);
    if (servers.isErr()) return err(servers.error);
    const [callers, peers, operators] = servers.value;
    const gauges = timer.every(GAUGE_PERIOD_MS, () => {
      sendGauges(daemon, metrics);
    });
    void daemon.start();
    const parts = { target, platform, metrics, gauges, timer };
    return ok(new DaemonProcess(daemon, { callers, peers, operators }, parts));
  }

  /** @returns The port for callers. */
  get callerPort(): number {
    return this.#servers.callers.port;
  }

  /** @returns The port for peers. */
  get peerPort(): number {
    return this.#servers.peers.port;
  }

  /** @returns The port for operators. */
  get operatorPort(): number {
    return this.#servers.operators.port;
  }

  /** Stops without cutting a call. */
  async drain(): Promise<void> {
    await this.daemon.drain();
    await this.#servers.callers.close(this.#timer);
    this.#servers.peers.close();
    this.#servers.operators.close();
    this.#gauges.cancel();
    this.#metrics.close();
    await this.#target.close();
    await this.#platform.close();
  }
}

/** Reads from the platform until it is closed. */
interface ClosableSource extends DocumentSource {
  close(): Promise<void>;
}

function connectPlatform(
  { platform, callers, peers }: Settings,
  log: EventLog,
  timer: TimerService,
): { dialect: HttpDialect; source: ClosableSource } {
  const { url, kind, regions, retryPercent } = platform;
  switch (kind) {
    case PlatformKind.Documents:
      return { dialect: new OwnDialect(), source: new HttpSource(url) };
    case PlatformKind.Store:
      return {
        dialect: new PlatformDialect(),
        source: new StoreSource({
          client: new StoreClient(url),
          log,
          timer,
          ports: { callers: callers.port, peers: peers.port },
          rules: { regions, retryPercent },
        }),
      };
  }
}

function makeMetrics({ metrics, instance }: Settings): Metrics {
  return metrics ? new StatsdMetrics({ ...metrics, instanceId: instance.id }) : new NoMetrics();
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
  metrics.timing(Metric.CallMs, timer.now() - startMs, { outcome });
  return reply;
}

function operatorView(daemon: Daemon) {
  return {
    isServing: () => daemon.stage === LifeStage.Live,
    status: () => daemon.status,
    routes: () => (daemon.configuration?.routes.routes ?? []).map(describeRoute),
    explain: (callId: string) => daemon.journal.linesWith('call', callId),
  };
}

function describeRoute(route: Route): object {
  return { ...route, homeRegions: route.homeRegions.toString() };
}

function sendGauges(daemon: Daemon, metrics: Metrics): void {
  const { load, links, configurationVersion, keptBytes } = daemon.status;
  metrics.gauge(Metric.InFlight, load.inFlight);
  metrics.gauge(Metric.Limit, load.limit);
  metrics.gauge(Metric.Queued, load.queued);
  metrics.gauge(Metric.Links, links);
  metrics.gauge(Metric.ConfigurationVersion, configurationVersion);
  metrics.gauge(Metric.KeptBytes, keptBytes);
}
