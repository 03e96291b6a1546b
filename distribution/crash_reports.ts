import { EvidenceKind, type Evidence, type Quarantine } from '../guard/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import { FrameKind, type CrashSuspectFrame, type PeerLink } from '../link/mod.ts';
import { WATCHERS_PER_DOMAIN, rankWatchers } from '../configuration/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import type { WatcherRoster } from './watcher_roster.ts';

/** Time for a daemon that gets a report to answer a ping, in milliseconds. */
const PING_TIMEOUT_MS = 1_000;
/** Largest number of daemons in a failure domain that are tried. */
const MAX_PEERS_TRIED = 16;

/** Makes the frames of a report. */
type Report = () => readonly CrashSuspectFrame[];

/** Options of {@linkcode CrashReports}. */
export interface CrashReportsOptions {
  timer: TimerService;
  quarantine: Quarantine;
  /** Incarnation of this daemon. */
  incarnation: string;
  instanceId: string;
  getFleet: () => Fleet;
  roster: WatcherRoster;
  /** @returns Links to the daemons that follow this one. */
  getFollowers: () => readonly PeerLink[];
  /**
   * Returns an open link to a peer; opens one if there is none.
   *
   * @param instance Instance of the peer.
   * @returns The link, or `undefined` if the daemon cannot be reached.
   */
  openLink: (instance: Instance) => Promise<PeerLink | undefined>;
}

/**
 * Tells all daemons which calls were running at the crash of a target, and which of these were
 * answered since. A report goes to two daemons of each failure domain that answer, watchers if
 * possible, and from the watchers to their followers. Both ends of a new link, and a daemon that gets a
 * follower, repeat what they know, so that a daemon that has restarted or was cut off learns it too.
 */
export class CrashReports {
  readonly #options: CrashReportsOptions;
  #reports = 0;

  /** @param options See {@linkcode CrashReportsOptions}. */
  constructor(options: CrashReportsOptions) {
    this.#options = options;
  }

  /**
   * Reports a crash of this daemon's target.
   *
   * @param fingerprints Fingerprints of the calls that were running.
   */
  async reportCrash(fingerprints: readonly string[]): Promise<void> {
    await this.#report(EvidenceKind.Crash, fingerprints);
  }

  /**
   * Reports that this daemon's target has answered calls that are suspected.
   *
   * @param fingerprint Fingerprint of the calls.
   */
  async reportAnswer(fingerprint: string): Promise<void> {
    await this.#report(EvidenceKind.Answer, [fingerprint]);
  }

  /**
   * Handles a report of a peer, and passes it on if it is new.
   *
   * @param link The link over which it was received.
   * @param frame The report.
   */
  handleFrame(link: PeerLink, frame: CrashSuspectFrame): void {
    const { quarantine, roster } = this.#options;
    const evidence = fromFrame(frame);
    if (!evidence || !quarantine.record(evidence)) return;
    this.#sendToFollowers(frame, link);
    if (roster.isWatcher) return;
    const isFromWatcher = roster.watchers.some(({ id }) => id === link.peer.instanceId);
    if (!isFromWatcher) void this.#sendToAll(roster.watchers, this.#makeReport([evidence]));
  }

  /**
   * Repeats to a peer which calls are suspected.
   *
   * @param link A link that was just opened, or whose peer has begun to follow this daemon.
   */
  repeatTo(link: PeerLink): void {
    for (const evidence of this.#options.quarantine.evidence) link.sendFrame(toFrame(evidence));
  }

  async #report(kind: EvidenceKind, fingerprints: readonly string[]): Promise<void> {
    const { quarantine, incarnation } = this.#options;
    this.#reports += 1;
    const id = `${incarnation}/${this.#reports}`;
    const evidence = fingerprints.map((fingerprint) => ({ fingerprint, kind, id, ageMs: 0 }));
    await this.#publish(evidence.filter((each) => quarantine.record(each)));
  }

  async #publish(evidence: readonly Evidence[]): Promise<void> {
    if (evidence.length === 0) return;
    for (const each of evidence) this.#sendToFollowers(toFrame(each));
    const { instances } = this.#options.getFleet();
    const domains = new Set(instances.map(({ failureDomain }) => failureDomain));
    const report = this.#makeReport(evidence);
    await Promise.all([...domains].map((domain) => this.#sendToDomain(domain, report)));
  }

  /** Returns a function that makes the frames of a report, with the age of its evidence at that time. */
  #makeReport(evidence: readonly Evidence[]): Report {
    const { timer } = this.#options;
    const startMs = timer.now();
    return () =>
      evidence.map((each) => toFrame({ ...each, ageMs: each.ageMs + timer.now() - startMs }));
  }

  /** Sends a report to the first daemons of a failure domain, by rank, that answer. */
  async #sendToDomain(domain: string, report: Report): Promise<void> {
    const ranked = rankWatchers(this.#options.getFleet(), domain).slice(0, MAX_PEERS_TRIED);
    let reached = 0;
    for (let next = 0; next < ranked.length && reached < WATCHERS_PER_DOMAIN;) {
      const group = ranked.slice(next, next + WATCHERS_PER_DOMAIN - reached);
      next += group.length;
      reached += await this.#sendToAll(group, report);
    }
  }

  /** Returns the number of daemons that answer, this one included. */
  async #sendToAll(instances: readonly Instance[], report: Report): Promise<number> {
    const sent = await Promise.all(instances.map((each) => this.#sendTo(each, report)));
    return sent.filter(Boolean).length;
  }

  async #sendTo(instance: Instance, report: Report): Promise<boolean> {
    const { instanceId, openLink } = this.#options;
    if (instance.id === instanceId) return true;
    const link = await openLink(instance);
    if (!link) return false;
    for (const frame of report()) link.sendFrame(frame);
    return link.verify(0, PING_TIMEOUT_MS);
  }

  #sendToFollowers(frame: CrashSuspectFrame, except?: PeerLink): void {
    for (const link of this.#options.getFollowers()) if (link !== except) link.sendFrame(frame);
  }
}

function toFrame({ fingerprint, kind, id, ageMs }: Evidence): CrashSuspectFrame {
  const evidence = `${kind}:${Math.round(ageMs)}:${id}`;
  return { kind: FrameKind.CrashSuspect, fingerprint, evidence };
}

/** Returns the evidence of a frame; undefined if it is of a kind that is not known here. */
function fromFrame({ fingerprint, evidence }: CrashSuspectFrame): Evidence | undefined {
  const [, kindText, ageText, id] = /^([a-z]+):(\d{1,9}):(.+)$/s.exec(evidence) ?? [];
  const kind = Object.values(EvidenceKind).find((each) => each.valueOf() === kindText);
  if (kind === undefined || id === undefined) return undefined;
  return { fingerprint, kind, id, ageMs: Number(ageText) };
}
