import { Event, type EventLog } from '../event_log/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import { FrameKind, type DocumentFrame, type Frame, type PeerLink } from '../link/mod.ts';
import {
  DocumentKind,
  OfferResult,
  selectWatchers,
  type DocumentStore,
  type OfferedDocument,
  type DocumentSource,
} from '../configuration/mod.ts';
import type { RandomSource } from '../random/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

/**
 * Longest wait of one watch at the platform, in milliseconds; bounds the time
 * for which a connection that has gone silent hides changes.
 */
const WATCH_WAIT_MS = 5_000;
/** Wait between two watches, in milliseconds; changes that come together cost one read. */
const WATCH_GAP_MS = 100;
/** Shortest wait after a failed read, in milliseconds; a random part is added. */
const RETRY_DELAY_MS = 500;
/** Time between two checks of a follower's links to its watchers, in milliseconds. */
const FOLLOW_PERIOD_MS = 1_000;
/** Time without any watcher after which a follower reads the platform itself, in milliseconds. */
const LONELY_LIMIT_MS = 3_000;
const LONELY_READ_PERIOD_MS = 5_000;
/** Shortest time between two reactions to a peer's version, in milliseconds. */
const ASK_PERIOD_MS = 100;
const KINDS = [DocumentKind.Configuration, DocumentKind.Fleet] as const;

/** What a {@linkcode DocumentDistributor} needs. */
export interface DocumentDistributorOptions {
  timer: TimerService;
  log: EventLog;
  random: RandomSource;
  store: DocumentStore;
  platform: DocumentSource;
  instanceId: string;
  failureDomain: string;
  getFleet: () => Fleet;
  /**
   * @param instance A watcher.
   * @returns An open link to its daemon, if it can be had.
   */
  openLink: (instance: Instance) => Promise<PeerLink | undefined>;
}

interface Follower {
  /** Versions that were last sent to it. */
  sent: Record<DocumentKind, number>;
}

/**
 * Brings the platform's documents to every daemon: few watch the platform,
 * the others follow one of these over a link.
 */
export class DocumentDistributor {
  readonly #options: DocumentDistributorOptions;
  readonly #followers = new Map<PeerLink, Follower>();
  readonly #following = new Set<PeerLink>();
  readonly #reactedAtMs = new WeakMap<PeerLink, number>();
  readonly #stop = new AbortController();
  #lastFollowedMs: number;
  readonly #lastReadMs: Record<DocumentKind, number> = {
    [DocumentKind.Configuration]: -Infinity,
    [DocumentKind.Fleet]: -Infinity,
  };
  #platformReads = 0;
  #ranked: { fleet: Fleet; watchers: Instance[] } | undefined;

  /** @param options See {@linkcode DocumentDistributorOptions}. */
  constructor(options: DocumentDistributorOptions) {
    this.#options = options;
    this.#lastFollowedMs = options.timer.now();
  }

  /** @returns Reads and watches made at the platform since the start. */
  get platformReads(): number {
    return this.#platformReads;
  }

  /** @returns Whether this daemon watches the platform for others. */
  get isWatcher(): boolean {
    return this.#watchers().some(({ id }) => id === this.#options.instanceId);
  }

  /** Starts one task for each document and one for the links to the watchers. */
  start(): void {
    for (const kind of KINDS) void this.#watch(kind);
    void this.#follow();
  }

  /** Ends all tasks. */
  close(): void {
    this.#stop.abort();
  }

  /**
   * Reads both documents from the platform once.
   *
   * @returns Whether the platform answered.
   */
  async readOnce(): Promise<boolean> {
    const reads = await Promise.all(KINDS.map((kind) => this.#read(kind, 0)));
    return reads.every(Boolean);
  }

  /**
   * Waits at the platform for the documents that this daemon does not have at all.
   *
   * @returns Whether the platform answered.
   */
  async waitForMissing(): Promise<boolean> {
    const { store } = this.#options;
    const missing = KINDS.filter((kind) => store.versionOf(kind) === 0);
    const reads = await Promise.all(missing.map((kind) => this.#read(kind, WATCH_WAIT_MS)));
    return reads.every(Boolean);
  }

  /**
   * Asks a peer for the documents that it has in newer versions.
   *
   * @param link A link to the peer.
   * @param follow Whether to be sent later versions too.
   */
  requestUpdates(link: PeerLink, follow = false): void {
    link.sendFrame({ kind: FrameKind.Subscribe, follow, ...this.#versions() });
  }

  /**
   * Takes a frame about versions or documents.
   *
   * @param link The link that it came over.
   * @param frame The frame.
   */
  handleFrame(link: PeerLink, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Subscribe: {
        const sent = {
          [DocumentKind.Configuration]: frame.configuration,
          [DocumentKind.Fleet]: frame.fleet,
        };
        if (frame.follow) this.#followers.set(link, { sent });
        this.#sendUpdates(link, { sent });
        this.#sendVersions(link);
        break;
      }
      case FrameKind.Document:
        this.#offer(frame, link);
        break;
      case FrameKind.Versions:
        if (this.#isBehind(frame.configuration, frame.fleet) && this.#mayReact(link)) {
          this.requestUpdates(link);
        }
        break;
      default:
        break;
    }
  }

  /**
   * Notes the version that a peer decides by.
   *
   * @param link The link to the peer.
   * @param version Its version of the configuration.
   */
  comparePeerVersion(link: PeerLink, version: number): void {
    const own = this.#options.store.versionOf(DocumentKind.Configuration);
    if (version === own || !this.#mayReact(link)) return;
    if (version > own) this.requestUpdates(link);
    else this.#sendVersions(link);
  }

  /** Bounds the exchange with a peer whose documents this daemon cannot take on. */
  #mayReact(link: PeerLink): boolean {
    const nowMs = this.#options.timer.now();
    if (nowMs - (this.#reactedAtMs.get(link) ?? -Infinity) < ASK_PERIOD_MS) return false;
    this.#reactedAtMs.set(link, nowMs);
    return true;
  }

  async #watch(kind: DocumentKind): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      if (this.isWatcher || this.#isFleetUnknown) {
        const answered = await this.#read(kind, WATCH_WAIT_MS);
        await this.#pause(answered ? WATCH_GAP_MS : RETRY_DELAY_MS);
      } else {
        await this.#pause(FOLLOW_PERIOD_MS);
        if (this.#isLonely(kind)) await this.#read(kind, 0);
      }
    }
  }

  /** Without any instance there is no watcher yet, so every daemon watches. */
  get #isFleetUnknown(): boolean {
    return this.#options.getFleet().size === 0;
  }

  #isLonely(kind: DocumentKind): boolean {
    if (this.isWatcher) return false;
    const nowMs = this.#options.timer.now();
    if (nowMs - this.#lastFollowedMs < LONELY_LIMIT_MS) return false;
    return nowMs - this.#lastReadMs[kind] >= LONELY_READ_PERIOD_MS;
  }

  async #read(document: DocumentKind, waitMs: number): Promise<boolean> {
    const { platform, store, log } = this.#options;
    this.#platformReads += 1;
    this.#lastReadMs[document] = this.#options.timer.now();
    const afterVersion = store.versionOf(document);
    const read = await platform.read({ document, afterVersion, waitMs });
    if (read.isErr()) {
      log.write(Event.PlatformUnreachable, { document, detail: read.error.detail });
      return false;
    }
    if (read.value) this.#offer({ document, base: 0, baseDigest: '', ...read.value });
    return true;
  }

  async #follow(): Promise<void> {
    const { instanceId, timer, openLink: link } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const others = this.#watchers().filter(({ id }) => id !== instanceId);
      for (const watcher of others) {
        const open = await link(watcher);
        if (!open) continue;
        this.#lastFollowedMs = timer.now();
        if (this.#following.has(open)) continue;
        this.#following.add(open);
        this.requestUpdates(open, true);
      }
      this.#dropClosed();
      await sleep(timer, FOLLOW_PERIOD_MS, { signal });
    }
  }

  /** The watchers of this daemon's failure domain, ranked anew for each version of the list. */
  #watchers(): Instance[] {
    const fleet = this.#options.getFleet();
    if (this.#ranked?.fleet !== fleet) {
      this.#ranked = { fleet, watchers: selectWatchers(fleet, this.#options.failureDomain) };
    }
    return this.#ranked.watchers;
  }

  #offer(offered: OfferedDocument | DocumentFrame, from?: PeerLink): void {
    const { store, log } = this.#options;
    const { document, version } = offered;
    const result = store.offer(offered);
    switch (result) {
      case OfferResult.Applied:
        log.write(Event.ConfigurationApplied, {
          document,
          version,
          from: from?.peer.instanceId ?? 'platform',
        });
        this.#publish();
        break;
      case OfferResult.Rejected:
        log.write(Event.ConfigurationRejected, {
          document,
          version,
          findings: store.rejected?.findings.join('; '),
        });
        break;
      case OfferResult.WrongBase:
        if (from) this.#askWhole(from, document);
        break;
      case OfferResult.Old:
        break;
    }
  }

  #publish(): void {
    for (const [link, follower] of this.#followers) {
      if (link.isOpen) this.#sendUpdates(link, follower);
    }
  }

  #sendUpdates(link: PeerLink, follower: Follower): void {
    for (const kind of KINDS) {
      const update = this.#options.store.updateFor(kind, follower.sent[kind]);
      if (!update) continue;
      follower.sent[kind] = update.version;
      link.sendFrame({ kind: FrameKind.Document, ...update });
    }
  }

  #sendVersions(link: PeerLink): void {
    link.sendFrame({ kind: FrameKind.Versions, ...this.#versions() });
  }

  /** A patch to a document that this daemon does not have is of no use to it. */
  #askWhole(link: PeerLink, document: DocumentKind): void {
    const versions = { ...this.#versions(), [document]: 0 };
    link.sendFrame({ kind: FrameKind.Subscribe, follow: false, ...versions });
  }

  #versions(): Record<DocumentKind, number> {
    const { store } = this.#options;
    return {
      [DocumentKind.Configuration]: store.versionOf(DocumentKind.Configuration),
      [DocumentKind.Fleet]: store.versionOf(DocumentKind.Fleet),
    };
  }

  #isBehind(configuration: number, fleet: number): boolean {
    const { store } = this.#options;
    if (configuration > store.versionOf(DocumentKind.Configuration)) return true;
    return fleet > store.versionOf(DocumentKind.Fleet);
  }

  #dropClosed(): void {
    for (const link of this.#followers.keys()) if (!link.isOpen) this.#followers.delete(link);
    for (const link of this.#following) if (!link.isOpen) this.#following.delete(link);
  }

  #pause(delayMs: number): Promise<void> {
    const { timer, random } = this.#options;
    return sleep(timer, delayMs + random.below(delayMs), { signal: this.#stop.signal });
  }
}
