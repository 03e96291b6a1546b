import {
  DocumentKind,
  type DocumentSource,
  type DocumentStore,
  type OfferedDocument,
} from '../configuration/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import type { RandomSource } from '../random/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import { DOCUMENT_KINDS, PlatformReader } from './platform_reader.ts';
import { CONFIRMATION_LIFETIME_MS, type WatcherRoster } from './watcher_roster.ts';

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
/** Interval at which a follower checks whether it is to watch, in milliseconds; a random delay is added. */
const ROLE_CHECK_PERIOD_MS = 1_000;
/**
 * Time by which the deputies of silent watchers read the platform before the other daemons, in
 * milliseconds; a random delay is added.
 */
const DEPUTY_HEAD_START_MS = 250;

/** Options of {@linkcode PlatformWatch}. */
export interface PlatformWatchOptions {
  timer: TimerService;
  log: EventLog;
  random: RandomSource;
  store: DocumentStore;
  platform: DocumentSource;
  getFleet: () => Fleet;
  roster: WatcherRoster;
  /** Called with each newer version of a document. */
  offer: (offered: OfferedDocument) => void;
  /** Called when the platform has answered that the documents in force are current. */
  onCurrent: () => void;
  /**
   * Starts to follow daemons, which may replace the watchers.
   *
   * @param deputies Instances of the daemons.
   */
  follow: (deputies: readonly Instance[]) => void;
}

/**
 * Keeps the documents in force at one daemon current: watches the platform if the roster says so, and
 * otherwise reads it only while no watcher confirms that the documents are current.
 */
export class PlatformWatch {
  readonly #options: PlatformWatchOptions;
  readonly #reader: PlatformReader;
  readonly #stop = new AbortController();
  /** Aborted when this daemon begins to watch the platform, or stops. */
  #idle = new AbortController();
  /** Time at which a watcher, or the platform itself, last confirmed the documents in force. */
  #confirmedAtMs: number;
  #answeredAtMs = -Infinity;

  /** @param options See {@linkcode PlatformWatchOptions}. */
  constructor(options: PlatformWatchOptions) {
    this.#options = options;
    this.#confirmedAtMs = options.timer.now();
    this.#reader = new PlatformReader({
      ...options,
      onCurrent: () => {
        this.#answeredAtMs = options.timer.now();
        this.#confirmedAtMs = this.#answeredAtMs;
        options.onCurrent();
      },
    });
  }

  /** @returns Number of reads and watches of the platform since the start. */
  get reads(): number {
    return this.#reader.reads;
  }

  /** @returns Time since the platform last answered this daemon, in milliseconds. */
  get answerAgeMs(): number {
    return this.#options.timer.now() - this.#answeredAtMs;
  }

  /** @returns Whether neither the platform nor a watcher keeps this daemon current. */
  get needsPeers(): boolean {
    return this.#reader.isFailing && (this.#options.roster.isWatcher || !this.#isConfirmed);
  }

  /** Starts one task for each document, and one that replaces silent watchers. */
  start(): void {
    this.#confirmedAtMs = this.#options.timer.now();
    for (const kind of DOCUMENT_KINDS) void this.#watch(kind);
    void this.#replaceSilentWatchers();
  }

  /** Stops all tasks. */
  close(): void {
    this.#stop.abort();
    this.#idle.abort();
  }

  /**
   * Reads both documents once.
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
   * Records that a watcher has confirmed that the documents in force are current.
   *
   * @param watcherId ID of the watcher's instance.
   */
  recordConfirmation(watcherId: string): void {
    this.#confirmedAtMs = this.#options.timer.now();
    this.#options.roster.recordConfirmation(watcherId);
  }

  async #watch(kind: DocumentKind): Promise<void> {
    const { timer, random } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      if (!this.#isWatching) {
        const delayMs = ROLE_CHECK_PERIOD_MS + random.below(ROLE_CHECK_PERIOD_MS);
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

  /** Whether the documents in force were current a short time ago. */
  get #isConfirmed(): boolean {
    return this.#confirmationLeftMs > 0;
  }

  get #confirmationLeftMs(): number {
    return this.#confirmedAtMs + CONFIRMATION_LIFETIME_MS - this.#options.timer.now();
  }

  async #replaceSilentWatchers(): Promise<void> {
    const { timer } = this.#options;
    const { signal } = this.#stop;
    while (!signal.aborted) {
      if (this.#isConfirmed) await sleep(timer, this.#confirmationLeftMs, { signal });
      else await this.#readForWatchers();
    }
  }

  /** Reads the platform in place of the watchers, and has them replaced if it answers. */
  async #readForWatchers(): Promise<void> {
    const { timer, log, roster, follow } = this.#options;
    const silentMs = Math.round(timer.now() - this.#confirmedAtMs);
    const watchers = roster.watchers.map(({ id }) => id).join(',');
    log.write(Event.WatchersSilent, { silentMs, watchers });
    if (!roster.isDeputy) {
      follow(roster.deputies);
      await this.#sleepWithJitter(DEPUTY_HEAD_START_MS);
      if (this.#isConfirmed) return;
    }
    // A watcher whose reads fail repeats them already.
    const isRetrying = roster.isWatcher && this.#reader.isFailing;
    if (isRetrying || !(await this.#reader.readBoth())) {
      await this.#sleepWithJitter(CONFIRMATION_LIFETIME_MS);
      return;
    }
    if (!roster.isWatcher && roster.replaceWatchers()) this.#startWatching();
  }

  #startWatching(): void {
    this.#options.log.write(Event.WatchTakenOver, {});
    this.#idle.abort();
    this.#idle = new AbortController();
  }

  #sleepWithJitter(delayMs: number): Promise<void> {
    const { timer, random } = this.#options;
    return sleep(timer, delayMs + random.below(delayMs), { signal: this.#stop.signal });
  }
}
