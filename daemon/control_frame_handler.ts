import type { Call } from '../contract/mod.ts';
import type { KeyOwner } from '../idempotency/mod.ts';
import type { Instance } from '../instance/mod.ts';
import { FrameKind, type Frame, type HandoverFrame, type PeerLink } from '../link/mod.ts';
import type { TargetViews } from '../placement/mod.ts';
import type { DocumentDistributor } from '../distribution/mod.ts';
import type { Quarantine } from '../guard/mod.ts';
import type { ClusterView } from './cluster_view.ts';

/** What a {@linkcode ControlFrameHandler} needs. */
export interface ControlFrameHandlerOptions {
  view: ClusterView;
  targetViews: TargetViews;
  quarantine: Quarantine;
  getOwner: () => KeyOwner;
  getDistributor: () => DocumentDistributor;
  /** @returns All open links. */
  getLinks: () => readonly PeerLink[];
}

/** Takes the frames between daemons that concern no attempt. */
export class ControlFrameHandler {
  readonly #options: ControlFrameHandlerOptions;
  /** Called with the acknowledgement of a handover, by incarnation. */
  readonly handoverAckListeners = new Map<string, (accepted: boolean) => void>();

  /** @param options See {@linkcode ControlFrameHandlerOptions}. */
  constructor(options: ControlFrameHandlerOptions) {
    this.#options = options;
  }

  /**
   * @param link The link that the frame came over.
   * @param frame The frame.
   */
  handle(link: PeerLink, frame: Frame): void {
    const { view, targetViews: board, quarantine, getDistributor: spread } = this.#options;
    switch (frame.kind) {
      case FrameKind.Leaving:
        board.get(link.peer.instanceId).recordLeaving();
        break;
      case FrameKind.Handover:
        this.#adopt(link, frame);
        break;
      case FrameKind.HandoverAck:
        this.handoverAckListeners.get(frame.incarnation)?.(frame.accepted);
        break;
      case FrameKind.CrashSuspect:
        quarantine.recordCrash(frame.fingerprint, frame.instanceId);
        break;
      case FrameKind.Versions:
        view.versionTracker.recordKnown(frame.configuration);
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
  broadcastCrash(call: Call, fingerprint: string, crashed: Instance): void {
    const { view, quarantine, getLinks: links } = this.#options;
    const isNew = quarantine.recordCrash(fingerprint, crashed.id);
    if (!isNew) return;
    const { topology: geography } = view.snapshot;
    for (const link of links()) {
      const region = geography.regionOf(link.peer.failureDomain);
      if (!call.route.homeRegions.permits(region)) continue;
      link.sendFrame({ kind: FrameKind.CrashSuspect, fingerprint, instanceId: crashed.id });
    }
  }

  #adopt(link: PeerLink, { handover }: HandoverFrame): void {
    const accepted = this.#options.getOwner().takeOver(handover);
    const { incarnation } = handover;
    link.sendFrame({ kind: FrameKind.HandoverAck, incarnation, accepted });
  }
}
