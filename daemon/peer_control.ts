import type { Call } from '../contract/mod.ts';
import type { KeyOwner } from '../idempotency/mod.ts';
import type { Instance } from '../instance/mod.ts';
import { FrameKind, type Frame, type HandoverFrame, type PeerLink } from '../link/mod.ts';
import type { TargetViews } from '../placement/mod.ts';
import type { DocumentDistributor } from '../distribution/mod.ts';
import type { Quarantine } from '../guard/mod.ts';
import type { WorldView } from './world_view.ts';

/** What a {@linkcode PeerControl} needs. */
export interface PeerControlOptions {
  view: WorldView;
  board: TargetViews;
  quarantine: Quarantine;
  owner: () => KeyOwner;
  spread: () => DocumentDistributor;
  /** @returns All open links. */
  links: () => readonly PeerLink[];
}

/** Takes the frames between daemons that concern no attempt. */
export class PeerControl {
  readonly #options: PeerControlOptions;
  /** Called with the acknowledgement of a handover, by incarnation. */
  readonly handoverAcks = new Map<string, (accepted: boolean) => void>();

  /** @param options See {@linkcode PeerControlOptions}. */
  constructor(options: PeerControlOptions) {
    this.#options = options;
  }

  /**
   * @param link The link that the frame came over.
   * @param frame The frame.
   */
  handle(link: PeerLink, frame: Frame): void {
    const { view, board, quarantine, spread } = this.#options;
    switch (frame.kind) {
      case FrameKind.Leaving:
        board.get(link.peer.instanceId).recordLeaving();
        break;
      case FrameKind.Handover:
        this.#adopt(link, frame);
        break;
      case FrameKind.HandoverAck:
        this.handoverAcks.get(frame.incarnation)?.(frame.accepted);
        break;
      case FrameKind.CrashSuspect:
        quarantine.recordCrash(frame.fingerprint, frame.instanceId);
        break;
      case FrameKind.Versions:
        view.progress.recordKnown(frame.configuration);
        spread().handleFrame(link, frame);
        break;
      default:
        spread().handleFrame(link, frame);
    }
  }

  /**
   * Tells peers of a call that was in flight at a crash, within its home regions only.
   *
   * @param call The call.
   * @param fingerprint Its fingerprint.
   * @param crashed Instance whose target crashed.
   */
  spreadSuspicion(call: Call, fingerprint: string, crashed: Instance): void {
    const { view, quarantine, links } = this.#options;
    const isNew = quarantine.recordCrash(fingerprint, crashed.id);
    if (!isNew) return;
    const { topology: geography } = view.scene;
    for (const link of links()) {
      const region = geography.regionOf(link.peer.failureDomain);
      if (!call.route.homeRegions.permits(region)) continue;
      link.sendFrame({ kind: FrameKind.CrashSuspect, fingerprint, instanceId: crashed.id });
    }
  }

  #adopt(link: PeerLink, { handover }: HandoverFrame): void {
    const accepted = this.#options.owner().takeOver(handover);
    const { incarnation } = handover;
    link.sendFrame({ kind: FrameKind.HandoverAck, incarnation, accepted });
  }
}
