import type { KeyOwner } from '../idempotency/mod.ts';
import { FrameKind, type Frame, type HandoverFrame, type PeerLink } from '../link/mod.ts';
import type { TargetViews } from '../placement/mod.ts';
import type { CrashReports, DocumentDistributor } from '../distribution/mod.ts';
import type { Guard } from '../guard/mod.ts';
import type { ClusterView } from './cluster_view.ts';

/** Options of {@linkcode ControlFrameHandler}. */
export interface ControlFrameHandlerOptions {
  view: ClusterView;
  targetViews: TargetViews;
  guard: Guard;
  crashReports: CrashReports;
  getOwner: () => KeyOwner;
  getDistributor: () => DocumentDistributor;
}

/** Handles the frames between daemons that do not belong to an attempt. */
export class ControlFrameHandler {
  readonly #options: ControlFrameHandlerOptions;
  /** Called with the acknowledgement of a handover, by incarnation. */
  readonly handoverAckListeners = new Map<string, (accepted: boolean) => void>();

  /** @param options See {@linkcode ControlFrameHandlerOptions}. */
  constructor(options: ControlFrameHandlerOptions) {
    this.#options = options;
  }

  /**
   * Handles one frame.
   *
   * @param link The link over which the frame was received.
   * @param frame The frame.
   */
  handle(link: PeerLink, frame: Frame): void {
    const { view, targetViews, crashReports, getDistributor } = this.#options;
    switch (frame.kind) {
      case FrameKind.Leaving:
        targetViews.get(link.peer.instanceId).recordLeaving();
        break;
      case FrameKind.Handover:
        this.#takeOver(link, frame);
        break;
      case FrameKind.HandoverAck:
        this.handoverAckListeners.get(frame.incarnation)?.(frame.accepted);
        break;
      case FrameKind.CrashSuspect:
        crashReports.handleFrame(link, frame);
        break;
      case FrameKind.TargetNotice:
        this.#options.guard.recordPeerNotice(frame.notice);
        break;
      case FrameKind.Versions:
        view.versionTracker.recordKnown(frame.configuration);
        getDistributor().handleFrame(link, frame);
        break;
      case FrameKind.Subscribe:
        if (frame.follow) crashReports.repeatTo(link);
        getDistributor().handleFrame(link, frame);
        break;
      default:
        getDistributor().handleFrame(link, frame);
    }
  }

  /**
   * Repeats to a peer what its target has asked of its callers, since the peer may have restarted
   * and the target may not have answered it yet.
   *
   * @param link A link that was just opened.
   */
  repeatTargetNotice(link: PeerLink): void {
    const { notice } = this.#options.targetViews.get(link.peer.instanceId);
    if (notice) link.sendFrame({ kind: FrameKind.TargetNotice, notice });
  }

  #takeOver(link: PeerLink, { handover }: HandoverFrame): void {
    const accepted = this.#options.getOwner().takeOver(handover);
    const { incarnation } = handover;
    link.sendFrame({ kind: FrameKind.HandoverAck, incarnation, accepted });
  }
}
