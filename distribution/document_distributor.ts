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
import { DOCUMENT_KINDS } from './platform_reader.ts';
import { PlatformWatch } from './platform_watch.ts';
import { needsReconciliation, reconcileWithPeer } from './reconcile_with_peer.ts';
import type { WatcherRoster } from './watcher_roster.ts';

/** Interval between two checks of the links to the watchers, in milliseconds. */
const LINK_CHECK_PERIOD_MS = 1_000;
/** Time without a frame after which a link to a watcher is verified, in milliseconds. */
const MAX_LINK_SILENCE_MS = 1_000;
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
  readonly #watch: PlatformWatch;
  readonly #followers = new Map<PeerLink, Follower>();
  readonly #followedLinks = new Set<PeerLink>();
  readonly #reactedAtMs = new WeakMap<PeerLink, number>();
  readonly #stop = new AbortController();

  /** @param options See {@linkcode DocumentDistributorOptions}. */
  constructor(options: DocumentDistributorOptions) {
    this.#options = options;
    this.#watch = new PlatformWatch({
      ...options,
      offer: (offered) => {
        this.#offer(offered);
      },
      onCurrent: () => {
        for (const link of this.followers) this.#sendConfirmation(link);
      },
      follow: (deputies) => void this.#followAll(deputies),
    });
  }

  /** @returns Number of reads and watches of the platform since the start. */
  get platformReads(): number {
    return this.#watch.reads;
  }

  /** @returns Open links to the daemons that follow this one. */
  get followers(): PeerLink[] {
    return [...this.#followers.keys()].filter(({ isOpen }) => isOpen);
  }

  /** Starts the tasks that read the platform, and one for the links to the watchers. */
  start(): void {
    this.#watch.start();
    void this.#follow();
  }

  /** Stops all tasks. */
  close(): void {
    this.#stop.abort();
    this.#watch.close();
  }

  /**
   * Reads both documents from the platform once.
   *
   * @returns Whether the platform answered both reads.
   */
  readOnce(): Promise<boolean> {
    return this.#watch.readOnce();
  }

  /**
   * Watches the platform once for each document of which this daemon has no version.
   *
   * @returns Whether the platform answered all watches.
   */
  waitForMissing(): Promise<boolean> {
    return this.#watch.waitForMissing();
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
          this.#watch.recordConfirmation(link.peer.instanceId);
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

  async #follow(): Promise<void> {
    const { timer, roster } = this.#options;
    const { signal } = this.#stop;
    for (let round = 0; !signal.aborted; round += 1) {
      roster.prune();
      await this.#followAll(roster.watchers);
      if (this.#watch.needsPeers) await this.#askOtherDomains();
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
    if (follow && this.#watch.answerAgeMs <= FRESH_ANSWER_MS) this.#sendConfirmation(link);
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
}
