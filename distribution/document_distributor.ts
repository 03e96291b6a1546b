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
import { needsReconciliation, reconcileWithPeer } from './reconcile_with_peer.ts';

/**
 * Longest wait of one watch of the platform, in milliseconds. Limits the time for
 * which a connection that no longer delivers anything hides changes.
 */
const WATCH_WAIT_MS = 3_000;
/** Pause between two watches, in milliseconds; changes in quick succession cost one read. */
const WATCH_GAP_MS = 100;
/**
 * Shortest interval between the start of a failed read and the next one, in milliseconds; a random
 * delay is added. A watch without an answer has taken longer, and is repeated at once.
 */
const RETRY_INTERVAL_MS = 500;
/** Interval between two checks of the links to the watchers, in milliseconds. */
const LINK_CHECK_PERIOD_MS = 1_000;
/** Time without a frame after which a link to a watcher is verified, in milliseconds. */
const MAX_LINK_SILENCE_MS = 1_000;
/** Time without a link to a watcher after which a follower reads the platform, in milliseconds. */
const WATCHERLESS_LIMIT_MS = 3_000;
const WATCHERLESS_READ_PERIOD_MS = 5_000;
/** Shortest interval between two reactions to the versions of a peer, in milliseconds. */
const REACTION_PERIOD_MS = 100;
/** Version by which a daemon with an unconfirmed document asks for any confirmed one; below all others. */
const UNCONFIRMED_VERSION = 1;
const DOCUMENT_KINDS = [DocumentKind.Configuration, DocumentKind.Fleet] as const;

/** Options of {@linkcode DocumentDistributor}. */
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
   * Returns an open link to a watcher; opens one if there is none.
   *
   * @param instance Instance of the watcher.
   * @returns The link, or `undefined` if the daemon cannot be reached.
   */
  openLink: (instance: Instance) => Promise<PeerLink | undefined>;
}

interface Follower {
  /** Versions last sent to the follower, at first those that it subscribed with. */
  sentVersions: Record<DocumentKind, number>;
}

/**
 * Distributes the platform's documents to all daemons. A few daemons in each
 * failure domain watch the platform; the others follow these watchers over links.
 */
export class DocumentDistributor {
  readonly #options: DocumentDistributorOptions;
  readonly #followers = new Map<PeerLink, Follower>();
  readonly #followedLinks = new Set<PeerLink>();
  readonly #reactedAtMs = new WeakMap<PeerLink, number>();
  readonly #stop = new AbortController();
  #lastLinkedMs: number;
  readonly #lastReadMs: Record<DocumentKind, number> = {
    [DocumentKind.Configuration]: -Infinity,
    [DocumentKind.Fleet]: -Infinity,
  };
  /** Whether the last read of each document failed. */
  readonly #isReadFailing: Record<DocumentKind, boolean> = {
    [DocumentKind.Configuration]: false,
    [DocumentKind.Fleet]: false,
  };
  #platformReads = 0;
  #selected: { fleet: Fleet; watchers: Instance[] } | undefined;

  /** @param options See {@linkcode DocumentDistributorOptions}. */
  constructor(options: DocumentDistributorOptions) {
    this.#options = options;
    this.#lastLinkedMs = options.timer.now();
  }

  /** @returns Number of reads and watches of the platform since the start. */
  get platformReads(): number {
    return this.#platformReads;
  }

  /** @returns Whether this daemon watches the platform for its failure domain. */
  get isWatcher(): boolean {
    return this.#getWatchers().some(({ id }) => id === this.#options.instanceId);
  }

  /** @returns Open links to the daemons that follow this one. */
  get followers(): PeerLink[] {
    return [...this.#followers.keys()].filter(({ isOpen }) => isOpen);
  }

  /** Starts one task for each document and one for the links to the watchers. */
  start(): void {
    for (const kind of DOCUMENT_KINDS) void this.#watch(kind);
    void this.#follow();
  }

  /** Stops all tasks. */
  close(): void {
    this.#stop.abort();
  }

  /**
   * Reads both documents from the platform once.
   *
   * @returns Whether the platform answered both reads.
   */
  async readOnce(): Promise<boolean> {
    const reads = await Promise.all(DOCUMENT_KINDS.map((kind) => this.#read(kind, 0)));
    return reads.every(Boolean);
  }

  /**
   * Watches the platform once for each document of which this daemon has no version.
   *
   * @returns Whether the platform answered all watches.
   */
  async waitForMissing(): Promise<boolean> {
    const { store } = this.#options;
    const missing = DOCUMENT_KINDS.filter((kind) => store.versionOf(kind) === 0);
    const reads = await Promise.all(missing.map((kind) => this.#read(kind, WATCH_WAIT_MS)));
    return reads.every(Boolean);
  }

  /**
   * Requests the documents of which a peer has newer versions.
   *
   * @param link A link to the peer.
   * @param follow Whether the peer should send later versions too.
   */
  requestUpdates(link: PeerLink, follow = false): void {
    link.sendFrame({ kind: FrameKind.Subscribe, follow, ...this.#getConfirmedVersions() });
  }

  /**
   * Handles a frame about versions or documents; ignores all other frames.
   *
   * @param link The link over which the frame was received.
   * @param frame The frame.
   */
  handleFrame(link: PeerLink, frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Subscribe: {
        const sentVersions = {
          [DocumentKind.Configuration]: frame.configuration,
          [DocumentKind.Fleet]: frame.fleet,
        };
        if (frame.follow) this.#followers.set(link, { sentVersions });
        this.#sendUpdates(link, { sentVersions });
        this.#sendVersions(link);
        // A watcher that has restarted may know less than its followers.
        if (this.#isBehind(frame.configuration, frame.fleet) && this.#mayReact(link))
          this.requestUpdates(link);
        break;
      }
      case FrameKind.Document:
        if (needsReconciliation(frame, this.#options.store)) void this.#reconcile(frame);
        else this.#offer(frame, link);
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
   * Compares the configuration version of a peer with the one in force here. Requests
   * updates if the peer's version is newer, and sends it this daemon's versions if it is older.
   *
   * @param link The link to the peer.
   * @param version Configuration version in force at the peer.
   */
  comparePeerVersion(link: PeerLink, version: number): void {
    const own = this.#options.store.versionOf(DocumentKind.Configuration);
    if (version === own || !this.#mayReact(link)) return;
    if (version > own) this.requestUpdates(link);
    else this.#sendVersions(link);
  }

  /** Limits the rate of exchanges with a peer whose documents this daemon cannot apply. */
  #mayReact(link: PeerLink): boolean {
    const nowMs = this.#options.timer.now();
    if (nowMs - (this.#reactedAtMs.get(link) ?? -Infinity) < REACTION_PERIOD_MS) return false;
    this.#reactedAtMs.set(link, nowMs);
    return true;
  }

  async #watch(kind: DocumentKind): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      if (this.isWatcher || this.#isFleetEmpty) {
        const startMs = this.#options.timer.now();
        const isAnswered = await this.#read(kind, WATCH_WAIT_MS);
        const elapsedMs = this.#options.timer.now() - startMs;
        if (isAnswered) await this.#sleepWithJitter(WATCH_GAP_MS);
        else if (elapsedMs < RETRY_INTERVAL_MS) await this.#sleepWithJitter(RETRY_INTERVAL_MS);
      } else {
        await this.#sleepWithJitter(LINK_CHECK_PERIOD_MS);
        if (this.#shouldReadWithoutWatcher(kind)) await this.#read(kind, 0);
      }
    }
  }

  /** Whether no instance is known yet. There is no watcher then, so that every daemon watches. */
  get #isFleetEmpty(): boolean {
    return this.#options.getFleet().size === 0;
  }

  #shouldReadWithoutWatcher(kind: DocumentKind): boolean {
    if (this.isWatcher) return false;
    const nowMs = this.#options.timer.now();
    if (nowMs - this.#lastLinkedMs < WATCHERLESS_LIMIT_MS) return false;
    return nowMs - this.#lastReadMs[kind] >= WATCHERLESS_READ_PERIOD_MS;
  }

  async #read(document: DocumentKind, waitMs: number): Promise<boolean> {
    const { platform, store, log } = this.#options;
    this.#platformReads += 1;
    this.#lastReadMs[document] = this.#options.timer.now();
    const afterVersion = store.versionOf(document);
    const { inForce } = store;
    const isUnconfirmed = store.isUnconfirmed(document);
    const read = await platform.read({ document, afterVersion, isUnconfirmed, inForce, waitMs });
    this.#isReadFailing[document] = read.isErr();
    if (read.isErr()) {
      log.write(Event.PlatformUnreachable, { document, detail: read.error.detail });
      return false;
    }
    if (read.value) this.#offer({ document, base: 0, baseDigest: '', ...read.value });
    return true;
  }

  async #follow(): Promise<void> {
    const { instanceId, timer } = this.#options;
    const { signal } = this.#stop;
    for (let round = 0; !signal.aborted; round += 1) {
      const others = this.#getWatchers().filter(({ id }) => id !== instanceId);
      for (const watcher of others) await this.#followWatcher(watcher);
      if (this.isWatcher && this.#cannotReadPlatform) await this.#askOtherDomains();
      this.#removeClosedLinks();
      const links = [...this.#followedLinks];
      // One link in each round is enough, as a working link to one watcher brings all updates.
      const isAlive = (await links[round % links.length]?.verify(MAX_LINK_SILENCE_MS)) ?? true;
      if (isAlive) await sleep(timer, LINK_CHECK_PERIOD_MS, { signal });
    }
  }

  async #followWatcher(watcher: Instance): Promise<void> {
    const link = await this.#options.openLink(watcher);
    if (!link) return;
    this.#lastLinkedMs = this.#options.timer.now();
    if (this.#followedLinks.has(link)) return;
    this.#followedLinks.add(link);
    this.requestUpdates(link, true);
  }

  get #cannotReadPlatform(): boolean {
    return DOCUMENT_KINDS.some((kind) => this.#isReadFailing[kind]);
  }

  /** Requests updates from a watcher of each other failure domain; the platform may serve it. */
  async #askOtherDomains(): Promise<void> {
    const { getFleet, failureDomain, openLink } = this.#options;
    const fleet = getFleet();
    const domains = new Set(fleet.instances.map((each) => each.failureDomain));
    domains.delete(failureDomain);
    const watchers = [...domains].flatMap((domain) => selectWatchers(fleet, domain).slice(0, 1));
    await Promise.all(
      watchers.map(async (watcher) => {
        const link = await openLink(watcher);
        if (link && (await link.verify(MAX_LINK_SILENCE_MS))) this.requestUpdates(link);
      }),
    );
  }

  /** Returns the watchers of this daemon's failure domain, selected once for each fleet. */
  #getWatchers(): Instance[] {
    const fleet = this.#options.getFleet();
    if (this.#selected?.fleet !== fleet) {
      this.#selected = { fleet, watchers: selectWatchers(fleet, this.#options.failureDomain) };
    }
    return this.#selected.watchers;
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
        this.#updateFollowers();
        break;
      case OfferResult.Rejected:
        log.write(Event.ConfigurationRejected, {
          document,
          version,
          findings: store.rejected?.findings.join('; '),
        });
        break;
      case OfferResult.WrongBase:
        if (from) this.#requestCompleteDocument(from, document);
        break;
      case OfferResult.Old:
        break;
    }
  }

  async #reconcile(frame: DocumentFrame): Promise<void> {
    const reconciled = await reconcileWithPeer(frame, this.#options);
    if (reconciled) this.#offer(reconciled);
  }

  #updateFollowers(): void {
    for (const [link, follower] of this.#followers) {
      if (link.isOpen) this.#sendUpdates(link, follower);
    }
  }

  #sendUpdates(link: PeerLink, follower: Follower): void {
    const { store } = this.#options;
    for (const kind of DOCUMENT_KINDS) {
      const update = store.updateFor(kind, follower.sentVersions[kind]);
      // An unconfirmed document is of use only to a daemon that has none.
      const isUseful = !store.isUnconfirmed(kind) || follower.sentVersions[kind] === 0;
      if (!update || !isUseful) continue;
      follower.sentVersions[kind] = update.version;
      link.sendFrame({ kind: FrameKind.Document, ...update });
    }
  }

  #sendVersions(link: PeerLink): void {
    link.sendFrame({ kind: FrameKind.Versions, ...this.#getVersions() });
  }

  /** Requests the complete document, because a patch does not apply to the one in force here. */
  #requestCompleteDocument(link: PeerLink, document: DocumentKind): void {
    const versions = { ...this.#getVersions(), [document]: 0 };
    link.sendFrame({ kind: FrameKind.Subscribe, follow: false, ...versions });
  }

  #getVersions(): Record<DocumentKind, number> {
    const { store } = this.#options;
    return {
      [DocumentKind.Configuration]: store.versionOf(DocumentKind.Configuration),
      [DocumentKind.Fleet]: store.versionOf(DocumentKind.Fleet),
    };
  }

  /** Returns the versions in force, except unconfirmed ones, so that peers send what they have. */
  #getConfirmedVersions(): Record<DocumentKind, number> {
    const { store } = this.#options;
    const versions = this.#getVersions();
    for (const kind of DOCUMENT_KINDS)
      if (store.isUnconfirmed(kind)) versions[kind] = UNCONFIRMED_VERSION;
    return versions;
  }

  #isBehind(configuration: number, fleet: number): boolean {
    const { store } = this.#options;
    if (configuration > store.versionOf(DocumentKind.Configuration)) return true;
    return fleet > store.versionOf(DocumentKind.Fleet);
  }

  #removeClosedLinks(): void {
    for (const link of this.#followers.keys()) if (!link.isOpen) this.#followers.delete(link);
    for (const link of this.#followedLinks) if (!link.isOpen) this.#followedLinks.delete(link);
  }

  #sleepWithJitter(delayMs: number): Promise<void> {
    const { timer, random } = this.#options;
    return sleep(timer, delayMs + random.below(delayMs), { signal: this.#stop.signal });
  }
}
