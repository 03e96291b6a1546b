import { Event, type EventLog } from '../event_log/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import {
  FrameKind,
  type DocumentFrame,
  type Frame,
  type PeerLink,
  type SubscribeFrame,
  type VersionsFrame,
} from '../link/mod.ts';
import {
  DocumentKind,
  OfferResult,
  rankWatchers,
  type DocumentStore,
  type OfferedDocument,
  type DocumentSource,
} from '../configuration/mod.ts';
import type { RandomSource } from '../random/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import { DOCUMENT_KINDS, PlatformReader } from './platform_reader.ts';
import { needsReconciliation, reconcileWithPeer } from './reconcile_with_peer.ts';
import { CONFIRMATION_LIFETIME_MS, WatcherRoster } from './watcher_roster.ts';

/** Longest wait for the first version of a document, in milliseconds. */
const FIRST_VERSION_WAIT_MS = 3_000;
/**
 * Interval at which the watches of a document end if nothing changes, in milliseconds. Limits the time
 * for which a connection that no longer delivers anything hides changes.
 */
const WATCH_PERIOD_MS = 2_600;
/** Time by which the watches of each document end before those of the other, in milliseconds. */
const WATCH_LEAD_MS: Readonly<Record<DocumentKind, number>> = {
  [DocumentKind.Configuration]: 0,
  [DocumentKind.Fleet]: WATCH_PERIOD_MS / 2,
};
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
/**
 * Time by which the deputies of silent watchers read the platform before the other daemons, in
 * milliseconds; a random delay is added.
 */
const DEPUTY_HEAD_START_MS = 250;
/** Age up to which an answer of the platform is confirmed to a daemon that starts to follow, in milliseconds. */
const FRESH_ANSWER_MS = 300;
/** Largest number of daemons in a failure domain that are tried when the domain is asked for updates. */
const MAX_PEERS_TRIED = 8;
/** Shortest interval between two reactions to the versions of a peer, in milliseconds. */
const REACTION_PERIOD_MS = 100;
/** Version by which a daemon with an unconfirmed document asks for any confirmed one; below all others. */
const UNCONFIRMED_VERSION = 1;
/** In a {@linkcode VersionsFrame}: nothing is said of the document. */
const UNSTATED_VERSION = 0;

/** Options of {@linkcode DocumentDistributor}. */
export interface DocumentDistributorOptions {
  timer: TimerService;
  log: EventLog;
  random: RandomSource;
  store: DocumentStore;
  platform: DocumentSource;
  failureDomain: string;
  getFleet: () => Fleet;
  roster: WatcherRoster;
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
 * Distributes the platform's documents to all daemons. A few daemons in each failure domain watch the
 * platform; the others follow these watchers over links. A watcher confirms to its followers that their
 * documents are current each time the platform has answered so, and a follower without a confirmation
 * reads the platform itself.
 */
export class DocumentDistributor {
  readonly #options: DocumentDistributorOptions;
  readonly #reader: PlatformReader;
  readonly #followers = new Map<PeerLink, Follower>();
  readonly #followedLinks = new Set<PeerLink>();
  readonly #reactedAtMs = new WeakMap<PeerLink, number>();
  readonly #stop = new AbortController();
  /** Aborted when this daemon begins to watch the platform, or stops. */
  #idle = new AbortController();
  /** Time at which a watcher, or the platform itself, last confirmed the documents in force. */
  #confirmedAtMs: number;
  /** Time at which the platform last answered. */
  #answeredAtMs = -Infinity;

  /** @param options See {@linkcode DocumentDistributorOptions}. */
  constructor(options: DocumentDistributorOptions) {
    this.#options = options;
    this.#confirmedAtMs = options.timer.now();
    this.#reader = new PlatformReader({
      ...options,
      offer: (offered) => {
        this.#offer(offered);
      },
      onCurrent: () => {
        this.#confirm();
      },
    });
  }

  /** @returns Number of reads and watches of the platform since the start. */
  get platformReads(): number {
    return this.#reader.reads;
  }

  /** @returns Open links to the daemons that follow this one. */
  get followers(): PeerLink[] {
    return [...this.#followers.keys()].filter(({ isOpen }) => isOpen);
  }

  /** Starts one task for each document, one for the links to the watchers, and one to replace these. */
  start(): void {
    this.#confirmedAtMs = this.#options.timer.now();
    for (const kind of DOCUMENT_KINDS) void this.#watch(kind);
    void this.#follow();
    void this.#replaceSilentWatchers();
  }

  /** Stops all tasks. */
  close(): void {
    this.#stop.abort();
    this.#idle.abort();
  }

  /**
   * Reads both documents from the platform once.
   *
   * @returns Whether the platform answered both reads.
   */
  readOnce(): Promise<boolean> {
    return this.#reader.readBoth();
  }

  /**
   * Watches the platform once for each document of which this daemon has no version.
   *
   * @returns Whether the platform answered all watches.
   */
  async waitForMissing(): Promise<boolean> {
    const { store } = this.#options;
    const missing = DOCUMENT_KINDS.filter((kind) => store.versionOf(kind) === 0);
    const reads = await Promise.all(
      missing.map((kind) => this.#reader.read(kind, FIRST_VERSION_WAIT_MS)),
    );
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
      case FrameKind.Subscribe:
        this.#acceptSubscription(link, frame);
        break;
      case FrameKind.Document:
        if (needsReconciliation(frame, this.#options.store)) void this.#reconcile(frame);
        else this.#offer(frame, link);
        break;
      case FrameKind.Versions:
        if (this.#isBehind(frame.configuration, frame.fleet)) {
          if (this.#mayReact(link)) this.requestUpdates(link);
        } else if (this.#isConfirmation(frame) && this.#followedLinks.has(link)) {
          this.#confirmedAtMs = this.#options.timer.now();
          this.#options.roster.recordConfirmation(link.peer.instanceId);
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
    const { timer, random } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      if (!this.#isWatching) {
        const delayMs = LINK_CHECK_PERIOD_MS + random.below(LINK_CHECK_PERIOD_MS);
        await sleep(timer, delayMs, { signal: this.#idle.signal });
        continue;
      }
      const startMs = timer.now();
      const isAnswered = await this.#reader.read(kind, this.#getWatchMs(kind));
      const elapsedMs = timer.now() - startMs;
      if (isAnswered) await this.#sleepWithJitter(WATCH_GAP_MS);
      else if (elapsedMs < RETRY_INTERVAL_MS) await this.#sleepWithJitter(RETRY_INTERVAL_MS);
    }
  }

  /** Whether this daemon watches the platform; all daemons do while no instance is known. */
  get #isWatching(): boolean {
    return this.#options.getFleet().size === 0 || this.#options.roster.isWatcher;
  }

  /** Returns the wait of a watch that starts now, so that watches of the two documents end in turn. */
  #getWatchMs(kind: DocumentKind): number {
    const phaseMs = this.#options.timer.now() + WATCH_LEAD_MS[kind];
    return WATCH_PERIOD_MS - (phaseMs % WATCH_PERIOD_MS);
  }

  async #follow(): Promise<void> {
    const { timer, roster } = this.#options;
    const { signal } = this.#stop;
    for (let round = 0; !signal.aborted; round += 1) {
      roster.prune();
      await this.#followAll(roster.watchers);
      if (this.#reader.isFailing && (roster.isWatcher || !this.#isConfirmed))
        await this.#askOtherDomains();
      this.#removeClosedLinks();
      const links = [...this.#followedLinks];
      // One link in each round is enough, as a working link to one watcher brings all updates.
      const isAlive = (await links[round % links.length]?.verify(MAX_LINK_SILENCE_MS)) ?? true;
      if (isAlive) await sleep(timer, LINK_CHECK_PERIOD_MS, { signal });
    }
  }

  async #followAll(watchers: readonly Instance[]): Promise<void> {
    await Promise.all(watchers.map((watcher) => this.#followWatcher(watcher)));
  }

  async #followWatcher(watcher: Instance): Promise<void> {
    const link = await this.#options.openLink(watcher);
    if (!link || this.#followedLinks.has(link)) return;
    this.#followedLinks.add(link);
    this.requestUpdates(link, true);
  }

  /** Whether the documents in force were current a short time ago. */
  get #isConfirmed(): boolean {
    return this.#options.timer.now() - this.#confirmedAtMs < CONFIRMATION_LIFETIME_MS;
  }

  /** Waits until confirmations are missing, and then reads the platform in place of the watchers. */
  async #replaceSilentWatchers(): Promise<void> {
    const { timer } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const leftMs = this.#confirmedAtMs + CONFIRMATION_LIFETIME_MS - timer.now();
      if (leftMs > 0) await sleep(timer, leftMs, { signal });
      else await this.#readForWatchers();
    }
  }

  async #readForWatchers(): Promise<void> {
    const { timer, log, roster } = this.#options;
    const silentMs = Math.round(timer.now() - this.#confirmedAtMs);
    const watchers = roster.watchers.map(({ id }) => id).join(',');
    log.write(Event.WatchersSilent, { silentMs, watchers });
    if (!roster.isDeputy) {
      void this.#followAll(roster.deputies);
      await this.#sleepWithJitter(DEPUTY_HEAD_START_MS);
      if (this.#isConfirmed) return;
    }
    // A watcher whose reads fail repeats them already.
    const isRetrying = roster.isWatcher && this.#reader.isFailing;
    if (isRetrying || !(await this.#reader.readBoth())) {
      await this.#sleepWithJitter(CONFIRMATION_LIFETIME_MS);
      return;
    }
    this.#confirmedAtMs = timer.now();
    if (roster.isWatcher) return;
    // The platform answers, so the watchers are at fault.
    if (roster.replaceWatchers()) this.#startWatching();
  }

  #startWatching(): void {
    this.#options.log.write(Event.WatchTakenOver, {});
    this.#idle.abort();
    this.#idle = new AbortController();
  }

  /** Records that the documents in force are current, and confirms it to the followers. */
  #confirm(): void {
    this.#answeredAtMs = this.#options.timer.now();
    this.#confirmedAtMs = this.#answeredAtMs;
    for (const link of this.followers) this.#sendConfirmation(link);
  }

  #sendConfirmation(link: PeerLink): void {
    link.sendFrame({ kind: FrameKind.Versions, ...this.#getVersions() });
  }

  /** Whether a frame confirms that the documents in force here are current. */
  #isConfirmation({ configuration, fleet }: VersionsFrame): boolean {
    const own = this.#getVersions();
    return (
      configuration === own[DocumentKind.Configuration] &&
      fleet === own[DocumentKind.Fleet] &&
      configuration !== UNSTATED_VERSION &&
      fleet !== UNSTATED_VERSION
    );
  }

  /** Requests updates from a daemon of each other failure domain; the platform may serve it. */
  async #askOtherDomains(): Promise<void> {
    const { getFleet, failureDomain } = this.#options;
    const fleet = getFleet();
    const domains = new Set(fleet.instances.map((each) => each.failureDomain));
    domains.delete(failureDomain);
    await Promise.all([...domains].map((domain) => this.#askDomain(rankWatchers(fleet, domain))));
  }

  async #askDomain(ranked: readonly Instance[]): Promise<void> {
    for (const instance of ranked.slice(0, MAX_PEERS_TRIED)) {
      const link = await this.#options.openLink(instance);
      if (!link || !(await link.verify(MAX_LINK_SILENCE_MS))) continue;
      this.requestUpdates(link);
      return;
    }
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

  #acceptSubscription(link: PeerLink, { follow, configuration, fleet }: SubscribeFrame): void {
    const sentVersions = {
      [DocumentKind.Configuration]: configuration,
      [DocumentKind.Fleet]: fleet,
    };
    if (follow) this.#followers.set(link, { sentVersions });
    this.#sendUpdates(link, { sentVersions });
    this.#sendVersions(link);
    const answerAgeMs = this.#options.timer.now() - this.#answeredAtMs;
    if (follow && answerAgeMs <= FRESH_ANSWER_MS) this.#sendConfirmation(link);
    // A watcher that has restarted may know less than its followers.
    if (this.#isBehind(configuration, fleet) && this.#mayReact(link)) this.requestUpdates(link);
  }

  /** States the versions in force in a frame each, which confirms none of them. */
  #sendVersions(link: PeerLink): void {
    const versions = this.#getVersions();
    const unstated = {
      [DocumentKind.Configuration]: UNSTATED_VERSION,
      [DocumentKind.Fleet]: UNSTATED_VERSION,
    };
    for (const kind of DOCUMENT_KINDS)
      link.sendFrame({ kind: FrameKind.Versions, ...unstated, [kind]: versions[kind] });
  }

  /** Requests the complete document, because a patch does not apply to the one in force here. */
  #requestCompleteDocument(link: PeerLink, document: DocumentKind): void {
    const versions = { ...this.#getVersions(), [document]: 0 };
    this.#reactedAtMs.set(link, this.#options.timer.now());
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
