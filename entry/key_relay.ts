import { createHash } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import {
  FailureKind,
  ReceiverRole,
  RefusalReason,
  makeUnknownRefusal,
  type Answer,
  type AttemptFailure,
  type AttemptResult,
  type Call,
  type Refusal,
} from '../contract/mod.ts';
import { parseKey, type KeyClaims, type KeyOwner } from '../idempotency/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import type { AttemptCounter } from './attempt_counter.ts';
import type { ClusterSnapshot } from './dispatcher.ts';
import { awaitResult } from './settle_attempt.ts';
import type { PeerDirectory, PeerPort } from './peer_directory.ts';

/** Number of instances that may take over the keys of a daemon that has stopped. */
export const SUCCESSOR_COUNT = 3;
const RETRY_DELAY_MS = 50;

/** Time after the deadline that the owner has to send the result, in milliseconds. */
const GRACE_MS = 500;

/** Options of {@linkcode KeyRelay}. */
export interface KeyRelayOptions {
  timer: TimerService;
  owner: KeyOwner;
  peers: PeerDirectory;
  attempts: AttemptCounter;
  getSnapshot: () => ClusterSnapshot;
}

/** Forwards a call with an idempotency key to the daemon that owns the key. */
export class KeyRelay {
  readonly #options: KeyRelayOptions;

  /** @param options See {@linkcode KeyRelayOptions}. */
  constructor(options: KeyRelayOptions) {
    this.#options = options;
  }

  /**
   * Has a call executed by the owner of its key.
   *
   * @param call The call; its body must be buffered.
   * @param runLocally Executes the call if this daemon owns its key.
   * @returns The answer of the key's one execution, or a refusal.
   */
  async run(
    call: Call,
    runLocally: () => Promise<Result<Answer, Refusal>>,
  ): Promise<Result<Answer, Refusal>> {
    const read = parseKey(call.key ?? '');
    if (read.isErr()) return err(read.error);
    const claims = read.value;
    if (this.#options.owner.ownsKeysOf(claims.incarnation)) return runLocally();
    if (!call.route.homeRegions.permits(claims.region)) {
      const detail = 'the owner of the key stands outside the home regions';
      return err(makeUnknownRefusal(RefusalReason.KeyOwnerGone, detail));
    }
    return this.#runAtOwner(call, claims);
  }

  async #runAtOwner(call: Call, claims: KeyClaims): Promise<Result<Answer, Refusal>> {
    let mayHaveRun = false;
    while (!call.deadline.hasPassed && !call.signal.aborted) {
      for (const owner of this.#findPossibleOwners(claims)) {
        const result = await this.#runAtInstance(call, owner);
        if (result === undefined) continue;
        if (result.isOk()) return ok(result.value);
        if (result.error.kind !== FailureKind.Lost) return err(result.error.refusal);
        mayHaveRun = true;
      }
      if (!mayHaveRun) break;
      await sleep(this.#options.timer, RETRY_DELAY_MS, { signal: call.signal });
    }
    return err(
      makeUnknownRefusal(
        RefusalReason.KeyOwnerGone,
        `the owner of the key, ${claims.ownerId}, is gone`,
      ),
    );
  }

  /** Returns undefined if the instance cannot be reached or does not own the key. */
  async #runAtInstance(call: Call, instance: Instance): Promise<AttemptResult | undefined> {
    const opened = await this.#options.peers.open(instance);
    if (opened.isErr()) return undefined;
    const result = await this.#send(call, opened.value);
    return result.isErr() && isOwnedElsewhere(result.error) ? undefined : result;
  }

  #send(call: Call, port: PeerPort): Promise<AttemptResult> {
    const { sender, sequence } = this.#options.attempts.next();
    const receiverRole = ReceiverRole.Owner;
    const attempt = {
      sender,
      sequence,
      receiverRole,
      call,
      acceptsDelay: true,
    };
    return awaitResult(port.send(attempt), this.#options.timer, call.deadline.leftMs + GRACE_MS);
  }

  #findPossibleOwners(claims: KeyClaims): Instance[] {
    const { fleet, topology } = this.#options.getSnapshot();
    const issuer = fleet.find(claims.ownerId);
    const isPermitted = ({ failureDomain }: Instance) =>
      topology.regionOf(failureDomain) === claims.region;
    const exceptId = claims.ownerId;
    const successors = rankSuccessors(claims.incarnation, { fleet, exceptId, isPermitted });
    return issuer ? [issuer, ...successors] : successors;
  }
}

function isOwnedElsewhere({ kind, refusal }: AttemptFailure): boolean {
  return kind === FailureKind.NotSent || refusal.reason === RefusalReason.KeyOwnerGone;
}

/** Options of {@linkcode rankSuccessors}. */
export interface RankSuccessorsOptions {
  fleet: Fleet;
  /** ID of the instance whose daemon stops. */
  exceptId: string;
  /** Reports whether an instance may be a successor. */
  isPermitted: (instance: Instance) => boolean;
}

/**
 * Ranks the instances that may take over the keys of a stopping daemon. Uses
 * rendezvous hashing, so that every daemon finds the same instances.
 *
 * @param incarnation Incarnation of the daemon that issued the keys.
 * @param options See {@linkcode RankSuccessorsOptions}.
 * @returns The instances of the highest rank, in descending order.
 */
export function rankSuccessors(incarnation: string, options: RankSuccessorsOptions): Instance[] {
  const { fleet, exceptId, isPermitted } = options;
  const ranked = fleet.instances
    .filter((instance) => instance.id !== exceptId && isPermitted(instance))
    .map((instance) => ({ instance, rank: computeRank(incarnation, instance.id) }))
    .sort((a, b) => (a.rank < b.rank ? -1 : 1));
  return ranked.slice(0, SUCCESSOR_COUNT).map(({ instance }) => instance);
}

function computeRank(incarnation: string, instanceId: string): string {
  return createHash('sha256').update(`${incarnation}/${instanceId}`).digest('hex');
}
