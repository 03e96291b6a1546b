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

/** Instances that may have taken over the keys of one that has stopped. */
export const SUCCESSOR_COUNT = 3;
const RETRY_DELAY_MS = 50;

/** Time beyond the deadline that the owner has for its word, in milliseconds. */
const GRACE_MS = 500;

/** What a {@linkcode KeyRelay} needs. */
export interface KeyRelayOptions {
  timer: TimerService;
  owner: KeyOwner;
  peers: PeerDirectory;
  attempts: AttemptCounter;
  getSnapshot: () => ClusterSnapshot;
}

/** Brings a call with an idempotency key to the daemon that owns the key. */
export class KeyRelay {
  readonly #options: KeyRelayOptions;

  /** @param options See {@linkcode KeyRelayOptions}. */
  constructor(options: KeyRelayOptions) {
    this.#options = options;
  }

  /**
   * @param call The call; its body must be in memory as a whole.
   * @param runHere Runs the call if this daemon owns its key.
   * @returns The answer of the key's one execution, or a refusal.
   */
  async run(
    call: Call,
    runHere: () => Promise<Result<Answer, Refusal>>,
  ): Promise<Result<Answer, Refusal>> {
    const read = parseKey(call.key ?? '');
    if (read.isErr()) return err(read.error);
    const claims = read.value;
    if (this.#options.owner.ownsKeysOf(claims.incarnation)) return runHere();
    if (!call.route.homeRegions.permits(claims.region)) {
      const detail = 'the owner of the key stands outside the home regions';
      return err(makeUnknownRefusal(RefusalReason.KeyOwnerGone, detail));
    }
    return this.#runAtHolder(call, claims);
  }

  async #runAtHolder(call: Call, claims: KeyClaims): Promise<Result<Answer, Refusal>> {
    let mayHaveRun = false;
    while (!call.deadline.hasPassed && !call.signal.aborted) {
      for (const holder of this.#possibleHolders(claims)) {
        const result = await this.#runAt(call, holder);
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

  /** Gives nothing if the instance cannot be reached or does not own the key. */
  async #runAt(call: Call, holder: Instance): Promise<AttemptResult | undefined> {
    const opened = await this.#options.peers.open(holder);
    if (opened.isErr()) return undefined;
    const result = await this.#send(call, opened.value);
    return result.isErr() && isElsewhere(result.error) ? undefined : result;
  }

  #send(call: Call, port: PeerPort): Promise<AttemptResult> {
    const { sender, sequence } = this.#options.attempts.next();
    const leg = ReceiverRole.Owner;
    const attempt = {
      sender,
      sequence,
      receiverRole: leg,
      call,
      fingerprint: undefined,
      acceptsSlowTarget: true,
    };
    return awaitResult(port.send(attempt), this.#options.timer, call.deadline.leftMs + GRACE_MS);
  }

  #possibleHolders(claims: KeyClaims): Instance[] {
    const { fleet, topology: geography } = this.#options.getSnapshot();
    const issuer = fleet.find(claims.ownerId);
    const isPermitted = ({ failureDomain }: Instance) =>
      geography.regionOf(failureDomain) === claims.region;
    const exceptId = claims.ownerId;
    const successors = rankSuccessors(claims.incarnation, { fleet, exceptId, isPermitted });
    return issuer ? [issuer, ...successors] : successors;
  }
}

function isElsewhere({ kind, refusal }: AttemptFailure): boolean {
  return kind === FailureKind.NotSent || refusal.reason === RefusalReason.KeyOwnerGone;
}

/** Options of {@linkcode rankSuccessors}. */
export interface RankSuccessorsOptions {
  fleet: Fleet;
  /** Instance of the daemon that stops. */
  exceptId: string;
  /** Which instances may be a successor. */
  isPermitted: (instance: Instance) => boolean;
}

/**
 * Ranks the instances that take over the keys of a stopping daemon, by
 * rendezvous hashing, so that every daemon finds the same ones.
 *
 * @param incarnation Incarnation of the daemon that issued the keys.
 * @param options See {@linkcode RankSuccessorsOptions}.
 * @returns The best ranked instances, first choice first.
 */
export function rankSuccessors(incarnation: string, options: RankSuccessorsOptions): Instance[] {
  const { fleet, exceptId, isPermitted } = options;
  const ranked = fleet.instances
    .filter((instance) => instance.id !== exceptId && isPermitted(instance))
    .map((instance) => ({ instance, rank: rankOf(incarnation, instance.id) }))
    .sort((a, b) => (a.rank < b.rank ? -1 : 1));
  return ranked.slice(0, SUCCESSOR_COUNT).map(({ instance }) => instance);
}

function rankOf(incarnation: string, instanceId: string): string {
  return createHash('sha256').update(`${incarnation}/${instanceId}`).digest('hex');
}
