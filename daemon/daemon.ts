import { RefusalReason, makeNotRunRefusal, type Call } from '../contract/mod.ts';
import {
  AttemptCounter,
  CallRouter,
  Dispatcher,
  Entry,
  KeyRelay,
  rankSuccessors,
  type CallerReply,
  type CallerRequest,
} from '../entry/mod.ts';
import { Event, MemoryLog, TeeLog, type EventLog } from '../event_log/mod.ts';
import { KeyOwner } from '../idempotency/mod.ts';
import { InstanceStage, newIncarnation, type Instance } from '../instance/mod.ts';
import { FrameKind, LinkTable, PeerLink, type Dialer, type FrameChannel } from '../link/mod.ts';
import { NoMetrics, type Metrics } from '../metrics/mod.ts';
import { Placement, TargetViews, makePicker } from '../placement/mod.ts';
import type { Configuration, DocumentSource } from '../configuration/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { reloadSettings, type Settings } from '../settings/mod.ts';
import { DocumentDistributor } from '../distribution/mod.ts';
import { Guard, Quarantine, type TargetPort } from '../guard/mod.ts';
import { PauseDetector, sleep, type Subscription, type TimerService } from '../timer/mod.ts';
import { handOverKeys, type HandoverResult } from './hand_over_keys.ts';
import type { DaemonStatus } from './daemon_status.ts';
import { ControlFrameHandler } from './control_frame_handler.ts';
import { PeerRouteLookup } from './peer_route_lookup.ts';
import { VersionSync } from './version_sync.ts';
import { ClusterView } from './cluster_view.ts';

const DRAIN_POLL_MS = 10;
/** Time kept for the last steps of a planned stop, in milliseconds. */
const EXIT_MARGIN_MS = 300;
const PRUNE_PERIOD_MS = 30_000;

/** What a {@linkcode Daemon} needs from outside. */
export interface DaemonOptions {
  settings: Settings;
  timer: TimerService;
  log: EventLog;
  /** Receives measurements; none are kept by default. */
  metrics?: Metrics;
  dialer: Dialer;
  platform: DocumentSource;
  target: TargetPort;
  /** @returns The time of day, in milliseconds, which also passes while the machine is suspended. */
  wallNow?: () => number;
  /** Incarnation of this run; a fresh one by default. */
  incarnation?: string;
}

/** The process beside one target: entry for callers, guard for its target, owner of keys. */
export class Daemon {
  readonly incarnation: string;
  readonly entry: Entry;
  readonly guard: Guard;
  readonly links: LinkTable;
  readonly distributor: DocumentDistributor;
  readonly owner: KeyOwner;
  /** The most recent decisions and ends of calls. */
  readonly recentEvents: MemoryLog;
  #settings: Settings;
  readonly #timer: TimerService;
  readonly #log: EventLog;
  readonly #view: ClusterView;
  readonly #board: TargetViews;
  readonly #quarantine: Quarantine;
  readonly #pauseWatch: PauseDetector;
  readonly #pruning: Subscription;
  readonly #control: ControlFrameHandler;
  readonly #learning: VersionSync;
  readonly #stopped = new AbortController();

  /** @param options See {@linkcode DaemonOptions}. */
  constructor(options: DaemonOptions) {
    const { settings, timer, target } = options;
    const { instance, decisions } = settings;
    this.#settings = settings;
    this.#timer = timer;
    this.incarnation = options.incarnation ?? newIncarnation();
    this.recentEvents = new MemoryLog(decisions.journalLength);
    this.#log = new TeeLog([options.log, this.recentEvents]);
    const log = this.#log;
    const random = new SeededRandom(decisions.seed);
    this.#view = this.#makeView();
    this.#quarantine = new Quarantine(timer, log, settings.quarantine);
    this.#board = new TargetViews(timer);
    this.guard = new Guard({
      instanceId: instance.id,
      timer,
      log,
      port: target,
      limitKind: decisions.limit,
      quarantine: this.#quarantine,
      probePeriodMs: settings.target.probePeriodMs,
      getSlots: () => this.#view.fleet.find(instance.id)?.slots,
      getPool: () => this.#view.configuration?.findPool(instance.pool),
      getVersion: () => this.#view.version,
      checkAdmission: (attempt, phase) => {
        this.#pauseWatch.check();
        return this.#view.checkAttempt(attempt, phase);
      },
    });
    this.#control = new ControlFrameHandler({
      view: this.#view,
      targetViews: this.#board,
      quarantine: this.#quarantine,
      getOwner: () => this.owner,
      getDistributor: () => this.distributor,
      getLinks: () => this.links.links,
    });
    this.links = this.#makeLinks(options);
    this.owner = new KeyOwner({
      timer,
      instanceId: instance.id,
      getRegion: () => this.#view.region,
      checkAdmission: () => this.#view.checkCall(),
      canIssue: () => this.#view.isDomainIn,
      incarnation: this.incarnation,
      ...settings.keys,
    });
    this.entry = this.#makeEntry(random, options.metrics ?? new NoMetrics());
    this.distributor = new DocumentDistributor({
      timer,
      log,
      random,
      store: this.#view.store,
      platform: options.platform,
      instanceId: instance.id,
      failureDomain: instance.failureDomain,
      getFleet: () => this.#view.fleet,
      openLink: (watcher) => this.#linkTo(watcher),
    });
    this.#learning = new VersionSync({
      timer,
      instance,
      view: this.#view,
      distributor: this.distributor,
      isLinearizable: options.platform.isLinearizable,
      openLink: (peer) => this.#linkTo(peer),
      signal: this.#stopped.signal,
    });
    this.#pauseWatch = new PauseDetector(timer, { wallNow: options.wallNow });
    this.#pauseWatch.onPause((gapMs) => {
      void this.#resume(gapMs);
    });
    this.#pauseWatch.onSuspension((gapMs) => {
      void this.#readAgain(gapMs);
    });
    this.#pruning = timer.every(PRUNE_PERIOD_MS, () => {
      this.#board.prune((id) => this.#view.fleet.find(id) !== undefined);
    });
  }

  /** @returns What operators see of the daemon. */
  get status(): DaemonStatus {
    const { instance } = this.#settings;
    const traffic = this.links.links.map((link) => link.bytes);
    return {
      instance: instance.id,
      pool: instance.pool,
      failureDomain: instance.failureDomain,
      incarnation: this.incarnation,
      stage: this.#view.stage,
      configurationVersion: this.#view.version,
      fleetVersion: this.#view.fleet.version,
      rejected: this.#view.store.rejected,
      load: this.guard.load,
      overload: this.guard.overLimitCount,
      openCalls: this.entry.openCalls,
      links: traffic.length,
      linkBytesSent: traffic.reduce((sum, { sent }) => sum + sent, 0),
      linkBytesReceived: traffic.reduce((sum, { received }) => sum + received, 0),
      keptBytes: this.owner.keptBytes,
      isWatcher: this.distributor.isWatcher,
      platformReads: this.distributor.platformReads,
    };
  }

  /** @returns The configuration in force, if any. */
  get configuration(): Configuration | undefined {
    return this.#view.configuration;
  }

  /** @returns Where the daemon stands in its life. */
  get stage(): InstanceStage {
    return this.#view.stage;
  }

  /** Learns the versions in force and begins to serve; returns once it serves or is stopped. */
  async start(): Promise<void> {
    const { id, failureDomain } = this.#settings.instance;
    await this.#learning.syncUntilComplete();
    if (this.#stopped.signal.aborted) return;
    this.distributor.start();
    this.#view.stage = InstanceStage.Live;
    const { version } = this.#view;
    const { incarnation } = this;
    this.#log.write(Event.DaemonStarted, { instance: id, failureDomain, incarnation, version });
  }

  /**
   * Takes on changed settings as far as a running daemon can.
   *
   * @param read Settings as they were read now.
   */
  reload(read: Settings): void {
    const { settings, applied, deferred } = reloadSettings(this.#settings, read);
    this.#settings = settings;
    this.#log.write(Event.SettingsReloaded, {
      applied: applied.join(','),
      deferred: deferred.join(','),
    });
  }

  /**
   * Serves one call of a caller.
   *
   * @param req The call.
   * @returns Its answer or refusal.
   */
  serve(req: CallerRequest): Promise<CallerReply> {
    this.#pauseWatch.check();
    return this.entry.serve(req);
  }

  /**
   * Serves a connection that a peer has opened.
   *
   * @param channel The connection.
   */
  accept(channel: FrameChannel): Promise<void> {
    return this.links.accept(channel);
  }

  /**
   * Stops without cutting a call: tells the peers, refuses new work, finishes
   * what it holds, and hands its keys to a successor.
   *
   * @returns What became of the keys.
   */
  async drain(): Promise<HandoverResult> {
    if (!this.#view.isLeaving) this.#leave();
    const endMs = this.#timer.now() + this.#settings.drainTimeoutMs - EXIT_MARGIN_MS;
    await this.#turnCallersAway();
    await this.#untilIdle(endMs);
    const result = await this.#handOver();
    this.#log.write(Event.KeysHandedOver, { ...result });
    await this.#untilIdle(endMs);
    this.#stop();
    return result;
  }

  /** Stops at once. */
  kill(): void {
    this.#stop();
    this.links.terminateAll();
  }

  #makeView(): ClusterView {
    return new ClusterView({
      timer: this.#timer,
      instance: this.#settings.instance,
      onDomainOut: () => {
        this.guard.refuseQueued(
          makeNotRunRefusal(RefusalReason.DomainOut, 'the failure domain was taken out'),
        );
      },
      onDomainIn: () => {
        this.guard.resetWarmUp();
      },
      onChange: () => {
        this.guard.updateSlots();
      },
    });
  }

  #makeLinks({ dialer, settings }: DaemonOptions): LinkTable {
    const { id, failureDomain } = settings.instance;
    const agreement = new PeerRouteLookup(this.#view);
    return new LinkTable({
      instanceId: id,
      incarnation: this.incarnation,
      failureDomain,
      dialer,
      onOpen: (link) => {
        if (this.#view.isLeaving) link.sendFrame({ kind: FrameKind.Leaving });
        if (this.stage === InstanceStage.Starting) this.distributor.requestUpdates(link);
      },
      services: {
        timer: this.#timer,
        log: this.#log,
        guard: this.guard,
        runOwnedCall: (call) => this.#runOwned(call),
        findRoute: (attempt) => agreement.find(attempt),
        findRouteAfterCatchUp: (attempt) => agreement.findAfterCatchUp(attempt),
        getVersion: () => this.#view.version,
        onControlFrame: (link, frame) => {
          this.#control.handle(link, frame);
        },
        onPeerVersion: (link, version) => {
          this.#view.versionTracker.recordKnown(version);
          this.distributor.comparePeerVersion(link, version);
        },
      },
    });
  }

  #makeEntry(random: SeededRandom, metrics: Metrics): Entry {
    const { instance, decisions } = this.#settings;
    const timer = this.#timer;
    const log = this.#log;
    const attempts = new AttemptCounter(this.incarnation);
    const picker = makePicker(decisions.picker, random);
    const scene = () => this.#view.snapshot;
    const router = new CallRouter({
      random,
      foreignEntry: decisions.foreignEntry,
      getRegion: () => this.#view.region,
      getRoutes: () => this.#view.routes,
      getSnapshot: scene,
      versionTracker: this.#view.versionTracker,
    });
    const dispatcher = new Dispatcher({
      timer,
      log,
      metrics,
      getSnapshot: scene,
      attempts,
      router,
      peers: this.links,
      targetViews: this.#board,
      quarantine: this.#quarantine,
      placement: new Placement(instance.failureDomain, this.#board, picker),
      getRetryBurst: () => this.#retryBurst(),
      onCrash: (call, fingerprint, crashed) => {
        this.#control.broadcastCrash(call, fingerprint, crashed);
      },
    });
    const { owner, links: peers } = this;
    return new Entry({
      timer,
      log,
      pool: instance.pool,
      router,
      getVersion: () => this.#view.version,
      dispatcher,
      owner,
      relay: new KeyRelay({ timer, owner, peers, attempts, getSnapshot: scene }),
      checkAdmission: () => this.#view.checkCall(),
    });
  }

  /** Retries in a burst: this daemon's share of what the whole fleet may make, if that is bounded. */
  #retryBurst(): number {
    const { burst, fleetBurst } = this.#settings.retries;
    if (fleetBurst === undefined) return burst;
    return Math.max(1, fleetBurst / Math.max(1, this.#view.fleet.size));
  }

  async #linkTo(instance: Instance): Promise<PeerLink | undefined> {
    const opened = await this.links.open(instance);
    return opened.isOk() && opened.value instanceof PeerLink ? opened.value : undefined;
  }

  /** After a pause, nothing from before it is trusted: links are reopened and versions read again. */
  async #resume(gapMs: number): Promise<void> {
    if (this.stage !== InstanceStage.Live) return;
    this.#view.stage = InstanceStage.Starting;
    this.#log.write(Event.DaemonPaused, { gapMs: Math.round(gapMs) });
    this.guard.refuseQueued(makeNotRunRefusal(RefusalReason.NotReady, 'the daemon was paused'));
    this.links.terminateAll();
    await this.#learning.syncOnce();
    if (!this.#view.isLeaving) this.#view.stage = InstanceStage.Live;
    this.#log.write(Event.DaemonResumed, { version: this.#view.version });
  }

  /** A mere step of the time of day must cut nothing, so links and calls are left alone. */
  async #readAgain(gapMs: number): Promise<void> {
    if (this.stage !== InstanceStage.Live) return;
    this.#log.write(Event.DaemonSuspended, { gapMs: Math.round(gapMs) });
    await this.#learning.syncOnce();
    this.#log.write(Event.DaemonResumed, { version: this.#view.version });
  }

  async #runOwned(call: Call): ReturnType<Entry['runOwnedCall']> {
    this.#pauseWatch.check();
    return this.entry.runOwnedCall(call);
  }

  #leave(): void {
    this.#view.stage = InstanceStage.Leaving;
    this.#log.write(Event.DaemonDraining, { instance: this.#settings.instance.id });
    for (const link of this.links.links) link.sendFrame({ kind: FrameKind.Leaving });
    this.owner.freeze();
  }

  async #turnCallersAway(): Promise<void> {
    const { lameDuckMs } = this.#settings;
    if (lameDuckMs === 0) return;
    this.#view.isLameDuck = true;
    await sleep(this.#timer, lameDuckMs);
    this.#view.isLameDuck = false;
  }

  async #untilIdle(endMs: number): Promise<void> {
    while (this.#timer.now() < endMs && !this.#isIdle) await sleep(this.#timer, DRAIN_POLL_MS);
  }

  get #isIdle(): boolean {
    const isLinkIdle = this.links.links.every((link) => link.inFlight === 0);
    return (
      this.entry.openCalls === 0 && this.guard.isIdle && this.owner.running === 0 && isLinkIdle
    );
  }

  #handOver(): Promise<HandoverResult> {
    const { fleet, snapshot: scene, region } = this.#view;
    const exceptId = this.#settings.instance.id;
    const isPermitted = ({ failureDomain }: Instance) =>
      scene.topology.regionOf(failureDomain) === region;
    return handOverKeys(this.owner, {
      timer: this.#timer,
      rankSuccessors: (incarnation) =>
        rankSuccessors(incarnation, { fleet, exceptId, isPermitted }),
      openLink: (instance) => this.#linkTo(instance),
      ackListeners: this.#control.handoverAckListeners,
    });
  }

  #stop(): void {
    this.#stopped.abort();
    this.distributor.close();
    this.owner.close();
    this.#pauseWatch.close();
    this.#pruning.cancel();
    this.guard.close();
    this.links.closeAll();
    this.#log.write(Event.DaemonStopped, { instance: this.#settings.instance.id });
  }
}
