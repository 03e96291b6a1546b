import type { Handover, KeyOwner } from '../idempotency/mod.ts';
import type { Instance } from '../instance/mod.ts';
import { FrameKind, type PeerLink } from '../link/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

/** Time that a successor has to acknowledge, in milliseconds. */
const ACK_TIMEOUT_MS = 2_000;

/** What became of the keys of a daemon that stops. */
export interface HandoverResult {
  /** Incarnations whose keys a successor has taken over. */
  accepted: number;
  /** Incarnations whose keys nobody has taken over; their outcomes are unknown from now on. */
  lost: number;
  /** The successor, if there is one for all. */
  successor: string | undefined;
}

/** What {@linkcode handOverKeys} needs. */
export interface HandOverKeysOptions {
  timer: TimerService;
  /** Ranks the instances that may take over the keys of an incarnation. */
  rankSuccessors: (incarnation: string) => Instance[];
  openLink: (instance: Instance) => Promise<PeerLink | undefined>;
  /** Called with the acknowledgement for an incarnation. */
  ackListeners: Map<string, (accepted: boolean) => void>;
}

/**
 * Hands the keys of a stopping daemon to successors, once.
 *
 * @param owner The owner that gives them up.
 * @param options See {@linkcode HandOverKeysOptions}.
 * @returns What became of them.
 */
export async function handOverKeys(
  owner: KeyOwner,
  options: HandOverKeysOptions,
): Promise<HandoverResult> {
  const result: HandoverResult = { accepted: 0, lost: 0, successor: undefined };
  for (const handover of owner.handOver()) {
    const successor = await giveToFirst(handover, options);
    if (successor) result.accepted += 1;
    else result.lost += 1;
    result.successor = successor?.id ?? result.successor;
  }
  return result;
}

async function giveToFirst(
  handover: Handover,
  options: HandOverKeysOptions,
): Promise<Instance | undefined> {
  for (const successor of options.rankSuccessors(handover.incarnation)) {
    const link = await options.openLink(successor);
    if (!link) continue;
    const answer = await give(handover, link, options);
    if (answer === true) return successor;
    // Without an answer the successor may have taken them: there must not be a second one.
    if (answer === undefined) return undefined;
  }
  return undefined;
}

/** Gives nothing if there was no answer in time. */
async function give(
  handover: Handover,
  link: PeerLink,
  { ackListeners: acks, timer }: HandOverKeysOptions,
): Promise<boolean | undefined> {
  const done = new AbortController();
  const acked = new Promise<boolean>((resolve) => {
    acks.set(handover.incarnation, resolve);
  });
  link.sendFrame({ kind: FrameKind.Handover, handover });
  const late = sleep(timer, ACK_TIMEOUT_MS, { signal: done.signal }).then(() => undefined);
  const answer = await Promise.race([acked, late]);
  done.abort();
  acks.delete(handover.incarnation);
  return answer;
}
