import type { Quarantine } from '../guard/mod.ts';
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
  #crashes = 0;

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
    const { quarantine, incarnation } = this.#options;
    this.#crashes += 1;
    const crashId = `${incarnation}/${this.#crashes}`;
    const frames = fingerprints
      .filter((fingerprint) => quarantine.recordCrash(fingerprint, crashId))
      .map((fingerprint) => makeFrame(fingerprint, crashId));
    await this.#publish(frames);
  }

  /**
   * Reports that this daemon's target has answered a call that was suspected.
   *
   * @param fingerprint Fingerprint of the call.
   */
  async reportAnswer(fingerprint: string): Promise<void> {
    await this.#publish([makeFrame(fingerprint, undefined)]);
  }

  /**
   * Handles a report of a peer, and passes it on if it is new.
   *
   * @param link The link over which it was received.
   * @param frame The report.
   */
  handleFrame(link: PeerLink, frame: CrashSuspectFrame): void {
    const { quarantine, instanceId } = this.#options;
    const { fingerprint, crashId } = frame;
    const isNew =
      crashId === ''
        ? quarantine.recordAnswer(fingerprint)
        : quarantine.recordCrash(fingerprint, crashId);
    if (!isNew) return;
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
    for (const { fingerprint, crashId } of this.#options.quarantine.crashCoincidences)
      link.sendFrame(makeFrame(fingerprint, crashId));
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

function makeFrame(fingerprint: string, crashId: string | undefined): CrashSuspectFrame {
  return { kind: FrameKind.CrashSuspect, fingerprint, crashId: crashId ?? '' };
}
