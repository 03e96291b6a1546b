import { EvidenceKind, type Evidence, type Quarantine } from '../guard/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import { FrameKind, type CrashSuspectFrame, type PeerLink } from '../link/mod.ts';
import { selectWatchers } from '../configuration/mod.ts';

/** Options of {@linkcode CrashReports}. */
export interface CrashReportsOptions {
  quarantine: Quarantine;
  /** Incarnation of this daemon. */
  incarnation: string;
  instanceId: string;
  failureDomain: string;
  getFleet: () => Fleet;
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
 * answered since. A report goes to the watchers of all failure domains, and from these to their
 * followers. Both ends of a new link repeat what they know, so that a daemon that has restarted or
 * was cut off learns it too.
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
    const { quarantine, instanceId } = this.#options;
    const evidence = fromFrame(frame);
    if (!evidence || !quarantine.record(evidence)) return;
    const watchers = this.#selectWatchers(this.#options.failureDomain);
    if (watchers.some(({ id }) => id === instanceId)) this.#sendToFollowers(frame, link);
    else if (!watchers.some(({ id }) => id === link.peer.instanceId))
      void this.#sendTo(watchers, [frame]);
  }

  /**
   * Repeats to a peer which calls are suspected.
   *
   * @param link A link that was just opened.
   */
  repeatTo(link: PeerLink): void {
    for (const evidence of this.#options.quarantine.evidence) link.sendFrame(toFrame(evidence));
  }

  async #report(kind: EvidenceKind, fingerprints: readonly string[]): Promise<void> {
    const { quarantine, incarnation } = this.#options;
    this.#reports += 1;
    const id = `${incarnation}/${this.#reports}`;
    const evidence = fingerprints.map((fingerprint) => ({ fingerprint, kind, id, ageMs: 0 }));
    await this.#publish(evidence.filter((each) => quarantine.record(each)).map(toFrame));
  }

  async #publish(frames: readonly CrashSuspectFrame[]): Promise<void> {
    if (frames.length === 0) return;
    for (const frame of frames) this.#sendToFollowers(frame);
    const { instances } = this.#options.getFleet();
    const domains = new Set(instances.map(({ failureDomain }) => failureDomain));
    const watchers = [...domains].flatMap((domain) => this.#selectWatchers(domain));
    await this.#sendTo(watchers, frames);
  }

  async #sendTo(
    watchers: readonly Instance[],
    frames: readonly CrashSuspectFrame[],
  ): Promise<void> {
    const { instanceId, openLink } = this.#options;
    const others = watchers.filter(({ id }) => id !== instanceId);
    await Promise.all(
      others.map(async (watcher) => {
        const link = await openLink(watcher);
        for (const frame of frames) link?.sendFrame(frame);
      }),
    );
  }

  #sendToFollowers(frame: CrashSuspectFrame, except?: PeerLink): void {
    for (const link of this.#options.getFollowers()) if (link !== except) link.sendFrame(frame);
  }

  #selectWatchers(failureDomain: string): Instance[] {
    return selectWatchers(this.#options.getFleet(), failureDomain);
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
