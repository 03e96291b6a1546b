import type { Handover, KeyOwner } from '../idempotency/mod.ts';
import type { Instance } from '../instance/mod.ts';
import { FrameKind, type PeerLink } from '../link/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

/** Time that a successor has to acknowledge a handover, in milliseconds. */
const ACK_TIMEOUT_MS = 2_000;

/** Result of handing over the keys of a daemon that stops. */
export interface HandoverResult {
  /** Number of incarnations whose keys a successor has taken over. */
  accepted: number;
  /** Number of incarnations whose keys no successor has taken over; their outcomes are now unknown. */
  lost: number;
  /** The last successor that has taken over keys, if any. */
  successor: string | undefined;
}

/** Options of {@linkcode handOverKeys}. */
export interface HandOverKeysOptions {
  timer: TimerService;
  /** @returns The instances that may take over the keys of an incarnation, best first. */
  rankSuccessors: (incarnation: string) => Instance[];
  openLink: (instance: Instance) => Promise<PeerLink | undefined>;
  /** Called with the acknowledgement of a handover, by incarnation. */
  ackListeners: Map<string, (accepted: boolean) => void>;
}

/**
 * Hands the keys of a stopping daemon over to successors.
 *
 * @param owner The key owner that hands them over.
 * @param options See {@linkcode HandOverKeysOptions}.
 * @returns How many were taken over, and by whom.
 */
export async function handOverKeys(
  owner: KeyOwner,
  options: HandOverKeysOptions,
): Promise<HandoverResult> {
  const result: HandoverResult = { accepted: 0, lost: 0, successor: undefined };
  for (const handover of owner.handOver()) {
    const successor = await handOverToFirst(handover, options);
    if (successor) result.accepted += 1;
    else result.lost += 1;
    result.successor = successor?.id ?? result.successor;
  }
  return result;
}

async function handOverToFirst(
  handover: Handover,
  options: HandOverKeysOptions,
): Promise<Instance | undefined> {
  for (const successor of options.rankSuccessors(handover.incarnation)) {
    const link = await options.openLink(successor);
    if (!link) continue;
    const hasAccepted = await offerHandover(handover, link, options);
    if (hasAccepted === true) return successor;
    // Without an acknowledgement, the successor may own the keys: they must not get a second owner.
    if (hasAccepted === undefined) return undefined;
  }
  return undefined;
}

/** Returns whether the peer took the keys over, or `undefined` if it did not answer in time. */
async function offerHandover(
  handover: Handover,
  link: PeerLink,
  { ackListeners, timer }: HandOverKeysOptions,
): Promise<boolean | undefined> {
  const done = new AbortController();
  const acknowledgement = new Promise<boolean>((resolve) => {
    ackListeners.set(handover.incarnation, resolve);
  });
  link.sendFrame({ kind: FrameKind.Handover, handover });
  const timeout = sleep(timer, ACK_TIMEOUT_MS, { signal: done.signal }).then(() => undefined);
  const hasAccepted = await Promise.race([acknowledgement, timeout]);
  done.abort();
  ackListeners.delete(handover.incarnation);
  return hasAccepted;
}
