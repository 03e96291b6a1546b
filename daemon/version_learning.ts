import type { Instance } from '../instance/mod.ts';
import type { PeerLink } from '../link/mod.ts';
import type { DocumentDistributor } from '../distribution/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import type { WorldView } from './world_view.ts';

/** Time that peers are given to tell newer versions, in milliseconds. */
const PEER_ANSWER_MS = 300;
/** Peers that a starting or waking daemon asks. */
const PEERS_ASKED = 3;
const RETRY_DELAY_MS = 200;

/** What a {@linkcode VersionLearning} needs. */
export interface VersionLearningOptions {
  timer: TimerService;
  view: WorldView;
  spread: DocumentDistributor;
  instance: { id: string; failureDomain: string };
  /**
   * @param instance A peer's instance.
   * @returns An open link to its daemon, if it can be had.
   */
  link: (instance: Instance) => Promise<PeerLink | undefined>;
  /** Whether a read of the platform gives the newest versions for certain. */
  isLinearizable: boolean;
  /** Ends all waiting. */
  signal: AbortSignal;
}

/** Learns the versions in force before a daemon serves, from the platform and from peers. */
export class VersionLearning {
  readonly #options: VersionLearningOptions;

  /** @param options See {@linkcode VersionLearningOptions}. */
  constructor(options: VersionLearningOptions) {
    this.#options = options;
  }

  /** Tries until both documents are there, or until the daemon is stopped. */
  async untilComplete(): Promise<void> {
    const { timer, view, signal, spread } = this.#options;
    let isAnswered = await this.once();
    while (!signal.aborted && !view.isComplete) {
      if (!isAnswered) await sleep(timer, RETRY_DELAY_MS, { signal });
      // A platform that answers has nothing yet; waiting there costs it fewer reads than asking again.
      isAnswered = isAnswered ? await spread.waitForMissing() : await this.once();
    }
  }

  /**
   * Reads the platform and asks peers, which may have newer versions than a stale platform gives.
   *
   * @returns Whether the platform answered.
   */
  async once(): Promise<boolean> {
    const { timer, spread, signal, link } = this.#options;
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
