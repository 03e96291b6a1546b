import type { Instance } from '../instance/mod.ts';
import type { PeerLink } from '../link/mod.ts';
import type { DocumentDistributor } from '../distribution/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import type { ClusterView } from './cluster_view.ts';

/** Time that peers are given to tell newer versions, in milliseconds. */
const PEER_ANSWER_MS = 300;
/** Peers that a starting or waking daemon asks. */
const PEERS_ASKED = 3;
const RETRY_DELAY_MS = 200;

/** What a {@linkcode VersionSync} needs. */
export interface VersionSyncOptions {
  timer: TimerService;
  view: ClusterView;
  distributor: DocumentDistributor;
  instance: { id: string; failureDomain: string };
  /**
   * @param instance A peer's instance.
   * @returns An open link to its daemon, if it can be had.
   */
  openLink: (instance: Instance) => Promise<PeerLink | undefined>;
  /** Whether a read of the platform gives the newest versions for certain. */
  isLinearizable: boolean;
  /** Ends all waiting. */
  signal: AbortSignal;
}

/** Learns the versions in force before a daemon serves, from the platform and from peers. */
export class VersionSync {
  readonly #options: VersionSyncOptions;

  /** @param options See {@linkcode VersionSyncOptions}. */
  constructor(options: VersionSyncOptions) {
    this.#options = options;
  }

  /** Tries until both documents are there, or until the daemon is stopped. */
  async syncUntilComplete(): Promise<void> {
    const { timer, view, signal, distributor: spread } = this.#options;
    let isAnswered = await this.syncOnce();
    while (!signal.aborted && !view.hasBothDocuments) {
      if (!isAnswered) await sleep(timer, RETRY_DELAY_MS, { signal });
      // A platform that answers has nothing yet; waiting there costs it fewer reads than asking again.
      isAnswered = isAnswered ? await spread.waitForMissing() : await this.syncOnce();
    }
  }

  /**
   * Reads the platform and asks peers, which may have newer versions than a stale platform gives.
   *
   * @returns Whether the platform answered.
   */
  async syncOnce(): Promise<boolean> {
    const { timer, distributor: spread, signal, openLink: link } = this.#options;
    const answered = await spread.readOnce();
    if (answered && this.#options.isLinearizable) return true;
    const links = await Promise.all(this.#peersToAsk().map(link));
    const open = links.filter((each) => each !== undefined);
    for (const each of open) spread.requestUpdates(each);
    if (open.length > 0) await sleep(timer, PEER_ANSWER_MS, { signal });
    return answered;
  }

  #peersToAsk(): Instance[] {
    const { view, instance } = this.#options;
    const others = view.fleet.instances.filter(({ id }) => id !== instance.id);
    const isNear = ({ failureDomain }: Instance) => failureDomain === instance.failureDomain;
    const near = others.filter(isNear);
    const far = others.filter((each) => !isNear(each));
    return [...near, ...far].slice(0, PEERS_ASKED);
  }
}
