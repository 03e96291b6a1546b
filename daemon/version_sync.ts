import type { Instance } from '../instance/mod.ts';
import type { PeerLink } from '../link/mod.ts';
import type { DocumentDistributor } from '../distribution/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import type { ClusterView } from './cluster_view.ts';

/** Time for which updates from peers are awaited, in milliseconds. */
const PEER_UPDATE_WAIT_MS = 300;
/** Number of peers from which a starting or resuming daemon requests updates. */
const MAX_PEERS_ASKED = 3;
/** Largest number of peers that are tried to reach so many. */
const MAX_PEERS_TRIED = 15;
const RETRY_DELAY_MS = 200;

/** Options of {@linkcode VersionSync}. */
export interface VersionSyncOptions {
  timer: TimerService;
  view: ClusterView;
  distributor: DocumentDistributor;
  instance: { id: string; failureDomain: string };
  /**
   * @param instance The instance of a peer.
   * @returns An open link to its daemon, or `undefined` if none can be opened.
   */
  openLink: (instance: Instance) => Promise<PeerLink | undefined>;
  /** Whether reads of the platform are linearizable, and so return the newest versions. */
  isLinearizable: boolean;
  /** Aborted when the daemon stops. */
  signal: AbortSignal;
}

/** Fetches the newest versions from the platform and from peers before the daemon serves. */
export class VersionSync {
  readonly #options: VersionSyncOptions;

  /** @param options See {@linkcode VersionSyncOptions}. */
  constructor(options: VersionSyncOptions) {
    this.#options = options;
  }

  /** Fetches until both documents are in force or the daemon stops. */
  async syncUntilComplete(): Promise<void> {
    const { timer, view, signal, distributor } = this.#options;
    let isAnswered = await this.syncOnce();
    while (!signal.aborted && !view.hasBothDocuments) {
      if (!isAnswered) await sleep(timer, RETRY_DELAY_MS, { signal });
      // The platform answered, but a document is missing: a long poll costs fewer reads than a retry.
      isAnswered = isAnswered ? await distributor.waitForMissing() : await this.syncOnce();
    }
  }

  /**
   * Reads the platform once. Unless its reads are linearizable, also requests updates from peers,
   * which may have newer versions than a stale platform returns.
   *
   * @returns Whether the platform answered.
   */
  async syncOnce(): Promise<boolean> {
    const { distributor } = this.#options;
    const isAnswered = await distributor.readOnce();
    if (!isAnswered || !this.#options.isLinearizable) await this.#askPeers();
    return isAnswered;
  }

  /**
   * Requests updates from peers before the platform is read again, if that was not done yet: a
   * platform that was just restored from a copy may have lost versions that peers have in force.
   */
  async learnFromPeers(): Promise<void> {
    if (this.#options.isLinearizable) await this.#askPeers();
  }

  async #askPeers(): Promise<void> {
    const { timer, distributor, signal, openLink } = this.#options;
    const openLinks = await this.#openLinks(openLink);
    for (const each of openLinks) distributor.requestUpdates(each);
    if (openLinks.length > 0) await sleep(timer, PEER_UPDATE_WAIT_MS, { signal });
  }

  /** Opens links to the first peers that can be reached. */
  async #openLinks(openLink: VersionSyncOptions['openLink']): Promise<PeerLink[]> {
    const peers = this.#listPeers().slice(0, MAX_PEERS_TRIED);
    const opened: PeerLink[] = [];
    for (let next = 0; next < peers.length && opened.length < MAX_PEERS_ASKED;) {
      const group = peers.slice(next, next + MAX_PEERS_ASKED - opened.length);
      next += group.length;
      const links = await Promise.all(group.map(openLink));
      opened.push(...links.filter((each) => each !== undefined));
    }
    return opened;
  }

  /** Lists the other instances, those of this failure domain first. */
  #listPeers(): Instance[] {
    const { view, instance } = this.#options;
    const others = view.fleet.instances.filter(({ id }) => id !== instance.id);
    const isNear = ({ failureDomain }: Instance) => failureDomain === instance.failureDomain;
    const near = others.filter(isNear);
    const far = others.filter((each) => !isNear(each));
    return [...near, ...far];
  }
}
