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
import { Metric, NoMetrics, type Metrics } from '../metrics/mod.ts';
import { Placement, TargetViews, makePicker } from '../placement/mod.ts';
import type { Configuration, DocumentSource } from '../configuration/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { reloadSettings, type Settings } from '../settings/mod.ts';
import { CrashReports, DocumentDistributor, WatcherRoster } from '../distribution/mod.ts';
import { Guard, Quarantine, type TargetPort } from '../guard/mod.ts';
import { PauseDetector, sleep, type Subscription, type TimerService } from '../timer/mod.ts';
import { handOverKeys, type HandoverResult } from './hand_over_keys.ts';
import type { DaemonStatus } from './daemon_status.ts';
import { ControlFrameHandler } from './control_frame_handler.ts';
import { PeerRouteLookup } from './peer_route_lookup.ts';
import { VersionSync } from './version_sync.ts';
import { ClusterView } from './cluster_view.ts';

const DRAIN_POLL_MS = 10;
/** Time reserved for the last steps of a planned shutdown, in milliseconds. */
const EXIT_MARGIN_MS = 300;
/** Time before the end of the open calls by which each call taken since the stop has its answer. */
const ANSWER_MARGIN_MS = 50;
const PRUNE_PERIOD_MS = 30_000;

/** Options of {@linkcode Daemon}. */
export interface DaemonOptions {
  settings: Settings;
  timer: TimerService;
  log: EventLog;
  /** Records measurements; they are dropped by default. */
  metrics?: Metrics;
  dialer: Dialer;
  platform: DocumentSource;
  target: TargetPort;
  /**
   * Shortest time from the end of a target until another one may get its address, in milliseconds;
   * by default, addresses are not reused.
   */
  addressReuseMs?: number;
  /** @returns The wall clock time, in milliseconds, which advances while the machine is suspended. */
  wallNow?: () => number;
  /** Incarnation of this daemon; a new one by default. */
  incarnation?: string;
}

/** The daemon beside one target: entry for callers, guard of its target, and key owner. */
export class Daemon {
  readonly incarnation: string;
  readonly entry: Entry;
  readonly guard: Guard;
  readonly links: LinkTable;
  readonly distributor: DocumentDistributor;
  readonly owner: KeyOwner;
  /** The most recent events, among them decisions and results of calls. */
  readonly recentEvents: MemoryLog;
  #settings: Settings;
  readonly #timer: TimerService;
  readonly #addressReuseMs: number;
  readonly #log: EventLog;
  readonly #view: ClusterView;
  readonly #targetViews: TargetViews;
  readonly #quarantine: Quarantine;
  readonly #roster: WatcherRoster;
  readonly #crashReports: CrashReports;
  readonly #pauseDetector: PauseDetector;
  readonly #pruneTimer: Subscription;
  readonly #controlFrames: ControlFrameHandler;
  readonly #versionSync: VersionSync;
  readonly #stopController = new AbortController();
  /** Time at which the calls that are still open end, in milliseconds; infinite unless it stops. */
  #endsAtMs = Infinity;

  /** @param options See {@linkcode DaemonOptions}. */
  constructor(options: DaemonOptions) {
    const { settings, timer, target, metrics = new NoMetrics() } = options;
    const { instance, decisions } = settings;
    this.#settings = settings;
    this.#timer = timer;
    this.#addressReuseMs = options.addressReuseMs ?? Infinity;
    this.incarnation = options.incarnation ?? newIncarnation();
    this.recentEvents = new MemoryLog(decisions.journalLength);
    this.#log = new TeeLog([options.log, this.recentEvents]);
    const log = this.#log;
    const random = new SeededRandom(decisions.seed);
    this.#view = this.#makeClusterView();
    this.#quarantine = new Quarantine(timer, log, settings.quarantine);
    this.#targetViews = new TargetViews(timer);
    this.guard = new Guard({
      timer,
      log,
      port: target,
      limitKind: decisions.limit,
      quarantine: this.#quarantine,
      onCrash: (fingerprints) => {
        metrics.increment(Metric.TargetCrashes);
        void this.#crashReports.reportCrash(fingerprints);
      },
      onSuspectAnswered: (fingerprint) => {
        void this.#crashReports.reportAnswer(fingerprint);
      },
      probePeriodMs: settings.target.probePeriodMs,
      addressReuseMs: this.#addressReuseMs,
      getListedId: () => this.#view.listing?.targetId,
      getSlots: () => this.#view.listing?.slots,
      getPool: () => this.#view.configuration?.findPool(instance.pool),
      getVersion: () => this.#view.version,
      checkAdmission: (attempt, phase) => {
        this.#pauseDetector.check();
        return this.#view.checkAttempt(attempt, phase);
      },
    });
    const place = { instanceId: instance.id, failureDomain: instance.failureDomain };
    const getFleet = () => this.#view.fleet;
    this.#roster = new WatcherRoster({ ...place, timer, getFleet });
    this.#crashReports = new CrashReports({
      ...place,
      timer,
      quarantine: this.#quarantine,
      incarnation: this.incarnation,
      getFleet,
      roster: this.#roster,
      getFollowers: () => this.distributor.followers,
      openLink: (watcher) => this.#openLink(watcher),
    });
    this.#controlFrames = new ControlFrameHandler({
      view: this.#view,
      targetViews: this.#targetViews,
      guard: this.guard,
      crashReports: this.#crashReports,
      getOwner: () => this.owner,
      getDistributor: () => this.distributor,
    });
    this.links = this.#makeLinks(options);
    this.owner = new KeyOwner({
      timer,
      instanceId: instance.id,
      getRegion: () => this.#view.region,
      checkAdmission: () => this.#view.checkCall(),
      canIssue: () => this.#view.isDomainInService,
      incarnation: this.incarnation,
      ...settings.keys,
    });
    this.entry = this.#makeEntry(random, metrics);
    this.distributor = new DocumentDistributor({
      ...place,
      timer,
      log,
      random,
      store: this.#view.store,
      platform: options.platform,
      getFleet,
      roster: this.#roster,
      openLink: (watcher) => this.#openLink(watcher),
    });
    this.#versionSync = new VersionSync({
      timer,
      instance,
      view: this.#view,
      distributor: this.distributor,
      isLinearizable: options.platform.isLinearizable,
      openLink: (peer) => this.#openLink(peer),
      signal: this.#stopController.signal,
    });
    this.#pauseDetector = new PauseDetector(timer, { wallNow: options.wallNow });
    this.#pauseDetector.onPause((gapMs) => {
      void this.#resumeAfterPause(gapMs);
    });
    this.#pauseDetector.onSuspension((gapMs) => {
      this.guard.recordSuspension();
      void this.#resumeAfterSuspension(gapMs);
    });
    this.#pruneTimer = timer.every(PRUNE_PERIOD_MS, () => {
      this.#targetViews.prune((id) => this.#view.fleet.find(id) !== undefined);
      this.#quarantine.prune();
    });
  }

  /** @returns The daemon's status for operators. */
  get status(): DaemonStatus {
    const { instance } = this.#settings;
    const linkBytes = this.links.links.map((link) => link.bytes);
    return {
      instance: instance.id,
      pool: instance.pool,
      failureDomain: instance.failureDomain,
      incarnation: this.incarnation,
      stage: this.stage,
      configurationVersion: this.#view.version,
      fleetVersion: this.#view.fleet.version,
      rejected: this.#view.store.rejected,
      load: this.guard.load,
      overload: this.guard.overLimitCount,
      openCalls: this.entry.openCalls,
      links: linkBytes.length,
      linkBytesSent: linkBytes.reduce((sum, { sent }) => sum + sent, 0),
      linkBytesReceived: linkBytes.reduce((sum, { received }) => sum + received, 0),
      keptBytes: this.owner.keptBytes,
      suspectedCalls: this.#quarantine.suspectCount,
      isWatcher: this.#roster.isWatcher,
      platformReads: this.distributor.platformReads,
    };
  }

  /** @returns The configuration in force, if any. */
  get configuration(): Configuration | undefined {
    return this.#view.configuration;
  }

  /** @returns Lifecycle stage of the daemon. */
  get stage(): InstanceStage {
    return this.#view.lifecycle.stage;
  }

  /** Fetches the newest versions and starts to serve; resolves once it follows changes or is stopped. */
  async start(): Promise<void> {
    const { id, failureDomain } = this.#settings.instance;
    await this.#versionSync.syncUntilComplete();
    if (this.#isStopped() || !this.#view.lifecycle.startServing()) return;
    const { version } = this.#view;
    const { incarnation } = this;
    const addressReuseMs = this.#addressReuseMs;
    this.#log.write(Event.DaemonStarted, {
      instance: id,
      failureDomain,
      incarnation,
      version,
      addressReuseMs,
    });
    await this.#versionSync.learnFromPeers();
    if (!this.#isStopped()) this.distributor.start();
  }

  /**
   * Applies the changed settings that can change at runtime; the others need a restart.
   *
   * @param read The settings as just read.
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
   * @returns The answer or refusal.
   */
  serve(req: CallerRequest): Promise<CallerReply> {
    this.#pauseDetector.check();
    return this.entry.serve(req);
  }

  /**
   * Serves a connection that was opened by a peer.
   *
   * @param channel The connection.
   */
  accept(channel: FrameChannel): Promise<void> {
    return this.links.accept(channel);
  }

  /**
   * Shuts down gracefully: notifies the peers, refuses new calls, completes the
   * accepted ones, and hands its keys over to a successor.
   *
   * @returns The result of the handover.
   */
  async drain(): Promise<HandoverResult> {
    const endMs = this.#timer.now() + this.#settings.drainTimeoutMs - EXIT_MARGIN_MS;
    this.#endsAtMs = endMs - ANSWER_MARGIN_MS;
    if (this.#startLeaving()) await this.#serveAsLameDuck();
    await this.#waitUntilIdle(endMs);
    const result = await this.#handOver();
    this.#log.write(Event.KeysHandedOver, { ...result });
    await this.#waitUntilIdle(endMs);
    this.entry.endOpenCalls();
    this.#stop();
    return result;
  }

  /** Stops immediately and terminates all links. */
  kill(): void {
    this.#stop();
    this.links.terminateAll();
  }

  #isStopped(): boolean {
    return this.#stopController.signal.aborted;
  }

  #makeClusterView(): ClusterView {
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
        this.guard.applyListing();
      },
    });
  }

  #makeLinks({ dialer, settings }: DaemonOptions): LinkTable {
    const { id, failureDomain } = settings.instance;
    const routeLookup = new PeerRouteLookup(this.#view);
    return new LinkTable({
      instanceId: id,
      incarnation: this.incarnation,
      failureDomain,
      dialer,
      onOpen: (link) => {
        if (this.#view.isLeaving) link.sendFrame({ kind: FrameKind.Leaving });
        this.#controlFrames.repeatTargetNotice(link);
        this.#crashReports.repeatTo(link);
        if (this.stage === InstanceStage.Starting) this.distributor.requestUpdates(link);
      },
      services: {
        timer: this.#timer,
        log: this.#log,
        guard: this.guard,
        runOwnedCall: (call) => this.#runOwnedCall(call),
        findRoute: (query) => routeLookup.find(query),
        findRouteAfterCatchUp: (query) => routeLookup.findAfterCatchUp(query),
        getVersion: () => this.#view.version,
        onControlFrame: (link, frame) => {
          this.#controlFrames.handle(link, frame);
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
    const getSnapshot = () => this.#view.snapshot;
    const router = new CallRouter({
      random,
      foreignEntry: decisions.foreignEntry,
      getRegion: () => this.#view.region,
      getRoutes: () => this.#view.routes,
      getSnapshot,
      versionTracker: this.#view.versionTracker,
    });
    const dispatcher = new Dispatcher({
      timer,
      log,
      metrics,
      getSnapshot,
      attempts,
      router,
      peers: this.links,
      targetViews: this.#targetViews,
      quarantine: this.#quarantine,
      placement: new Placement(instance.failureDomain, this.#targetViews, picker),
      getRetryBurst: () => this.#getRetryBurst(),
    });
    const { owner, links: peers } = this;
    return new Entry({
      timer,
      log,
      pool: instance.pool,
      router,
      getVersion: () => this.#view.version,
      dispatcher,
      quarantine: this.#quarantine,
      owner,
      relay: new KeyRelay({ timer, owner, peers, attempts, getSnapshot }),
      getTimeLeftMs: () => this.#endsAtMs - timer.now(),
      checkAdmission: () => this.#view.checkCall(),
    });
  }

  /** Returns how many retries may be made in a burst; a limit for the fleet is shared equally. */
  #getRetryBurst(): number {
    const { burst, fleetBurst } = this.#settings.retries;
    if (fleetBurst === undefined) return burst;
    return Math.max(1, fleetBurst / Math.max(1, this.#view.fleet.size));
  }

  async #openLink(instance: Instance): Promise<PeerLink | undefined> {
    const opened = await this.links.open(instance);
    return opened.isOk() && opened.value instanceof PeerLink ? opened.value : undefined;
  }

  /** Terminates the links and fetches the versions again, as both may be outdated after a pause. */
  async #resumeAfterPause(gapMs: number): Promise<void> {
    if (this.stage !== InstanceStage.Live) return;
    this.#view.lifecycle.pause();
    this.#log.write(Event.DaemonPaused, { gapMs: Math.round(gapMs) });
    this.guard.refuseQueued(makeNotRunRefusal(RefusalReason.NotReady, 'the daemon was paused'));
    this.links.terminateAll();
    await this.#versionSync.syncOnce();
    this.#view.lifecycle.resume();
    this.#log.write(Event.DaemonResumed, { version: this.#view.version });
  }

  /** Fetches the versions again; keeps links and calls, as the wall clock may merely have been set. */
  async #resumeAfterSuspension(gapMs: number): Promise<void> {
    if (this.stage !== InstanceStage.Live) return;
    this.#log.write(Event.DaemonSuspended, { gapMs: Math.round(gapMs) });
    await this.#versionSync.syncOnce();
    this.#log.write(Event.DaemonResumed, { version: this.#view.version });
  }

  async #runOwnedCall(call: Call): ReturnType<Entry['runOwnedCall']> {
    this.#pauseDetector.check();
    return this.entry.runOwnedCall(call);
  }

  #startLeaving(): boolean {
    const isLameDuck = this.#view.lifecycle.startLeaving();
    this.#log.write(Event.DaemonDraining, { instance: this.#settings.instance.id });
    for (const link of this.links.links) link.sendFrame({ kind: FrameKind.Leaving });
    this.owner.freeze();
    return isLameDuck;
  }

  /** Still accepts calls for a while, so that callers can switch to another entry. */
  async #serveAsLameDuck(): Promise<void> {
    const { lameDuckMs } = this.#settings;
    if (lameDuckMs > 0) await sleep(this.#timer, lameDuckMs);
    this.#view.lifecycle.endLameDuck();
  }

  async #waitUntilIdle(endMs: number): Promise<void> {
    while (this.#timer.now() < endMs && !this.#isIdle) await sleep(this.#timer, DRAIN_POLL_MS);
  }

  get #isIdle(): boolean {
    const isLinkIdle = this.links.links.every((link) => link.inFlight === 0);
    return (
      this.entry.openCalls === 0 && this.guard.isIdle && this.owner.running === 0 && isLinkIdle
    );
  }

  #handOver(): Promise<HandoverResult> {
    const { fleet, snapshot, region } = this.#view;
    const exceptId = this.#settings.instance.id;
    const isPermitted = ({ failureDomain }: Instance) =>
      snapshot.topology.regionOf(failureDomain) === region;
    return handOverKeys(this.owner, {
      timer: this.#timer,
      rankSuccessors: (incarnation) =>
        rankSuccessors(incarnation, { fleet, exceptId, isPermitted }),
      openLink: (instance) => this.#openLink(instance),
      ackListeners: this.#controlFrames.handoverAckListeners,
    });
  }

  #stop(): void {
    this.#stopController.abort();
    this.distributor.close();
    this.owner.close();
    this.#pauseDetector.close();
    this.#pruneTimer.cancel();
    this.guard.close();
    this.links.closeAll();
    this.#log.write(Event.DaemonStopped, { instance: this.#settings.instance.id });
  }
}
