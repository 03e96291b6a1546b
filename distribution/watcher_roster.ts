import { WATCHERS_PER_DOMAIN, rankWatchers } from '../configuration/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/**
 * Time for which a confirmation counts, in milliseconds; more than the interval of confirmations, and
 * short enough that a daemon can read a change itself before it has to be in force.
 */
export const CONFIRMATION_LIFETIME_MS = 1_700;

/** Options of {@linkcode WatcherRoster}. */
export interface WatcherRosterOptions {
  timer: TimerService;
  instanceId: string;
  failureDomain: string;
  getFleet: () => Fleet;
}

/**
 * The daemons of this daemon's failure domain that watch the platform for the others, as far as this
 * daemon can tell. The list alone does not show who watches: an entry may outlive its daemon, or name
 * none. A daemon therefore counts as a watcher only while it confirms that its documents are current,
 * and those next in rank replace watchers that do not.
 */
export class WatcherRoster {
  readonly #options: WatcherRosterOptions;
  readonly #confirmedAtMs = new Map<string, number>();
  /** Number of daemons, in the order of their ranks, that are expected to watch. */
  #reach = WATCHERS_PER_DOMAIN;

  /** @param options See {@linkcode WatcherRosterOptions}. */
  constructor(options: WatcherRosterOptions) {
    this.#options = options;
  }

  /** @returns Whether this daemon is to watch the platform. */
  get isWatcher(): boolean {
    const rank = this.#rank;
    const before = this.#candidates.slice(0, rank).filter(({ id }) => this.#isCurrent(id));
    return rank < this.#reach && before.length < WATCHERS_PER_DOMAIN;
  }

  /** @returns Whether this daemon is the next to replace a watcher, or watches itself. */
  get isDeputy(): boolean {
    return this.#rank < this.#reach + WATCHERS_PER_DOMAIN;
  }

  /** @returns The other daemons that are expected to watch. */
  get watchers(): Instance[] {
    return this.#candidates.slice(0, this.#reach).filter((each) => !this.#isSelf(each));
  }

  /** @returns The other daemons that are next to replace the watchers. */
  get deputies(): Instance[] {
    const end = this.#reach + WATCHERS_PER_DOMAIN;
    return this.#candidates.slice(this.#reach, end).filter((each) => !this.#isSelf(each));
  }

  /**
   * Records that a daemon has confirmed that its documents are current.
   *
   * @param id ID of its instance.
   */
  recordConfirmation(id: string): void {
    this.#confirmedAtMs.set(id, this.#options.timer.now());
    const ranks = this.#candidates.flatMap((each, rank) =>
      this.#isCurrent(each.id) ? [rank] : [],
    );
    const last = ranks[WATCHERS_PER_DOMAIN - 1];
    if (last !== undefined) this.#reach = Math.max(WATCHERS_PER_DOMAIN, last + 1);
    else this.#reach = Math.max(this.#reach, (ranks[0] ?? 0) + 1);
  }

  /**
   * Expects the deputies to watch too, since the watchers confirm nothing.
   *
   * @returns Whether this daemon is to watch now.
   */
  replaceWatchers(): boolean {
    const end = Math.max(this.#candidates.length, WATCHERS_PER_DOMAIN);
    this.#reach = Math.min(this.#reach + WATCHERS_PER_DOMAIN, end);
    return this.isWatcher;
  }

  /** Removes what is known of daemons that have left the list. */
  prune(): void {
    const listed = new Set(this.#candidates.map(({ id }) => id));
    for (const id of this.#confirmedAtMs.keys())
      if (!listed.has(id)) this.#confirmedAtMs.delete(id);
  }

  get #candidates(): readonly Instance[] {
    return rankWatchers(this.#options.getFleet(), this.#options.failureDomain);
  }

  /** Rank of this daemon; infinite if it is not listed as live. */
  get #rank(): number {
    const rank = this.#candidates.findIndex((each) => this.#isSelf(each));
    return rank < 0 ? Infinity : rank;
  }

  #isSelf({ id }: Instance): boolean {
    return id === this.#options.instanceId;
  }

  #isCurrent(id: string): boolean {
    const confirmedAtMs = this.#confirmedAtMs.get(id) ?? -Infinity;
    return this.#options.timer.now() - confirmedAtMs < CONFIRMATION_LIFETIME_MS;
  }
}
