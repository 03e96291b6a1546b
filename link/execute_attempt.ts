import type { Result } from 'neverthrow';
import {
  FailureKind,
  ReceiverRole,
  Outcome,
  type Answer,
  type Attempt,
  type AttemptFailure,
  type AttemptPort,
  type AttemptResult,
  type Call,
  type Refusal,
} from '../contract/mod.ts';

/** The roles of a daemon that attempts are sent to. */
export interface AttemptHandlers {
  /** Executes attempts at this daemon's target. */
  guard: AttemptPort;
  /** Runs a call under a key that this daemon owns. */
  runOwnedCall: (call: Call) => Promise<Result<Answer, Refusal>>;
}

/**
 * Brings an attempt to the role that it is for.
 *
 * @param attempt The attempt.
 * @param roles The roles of the receiving daemon.
 * @returns How it ended.
 */
export async function executeAttempt(
  attempt: Attempt,
  roles: AttemptHandlers,
): Promise<AttemptResult> {
  if (attempt.receiverRole === ReceiverRole.Guard) return roles.guard.send(attempt);
  const result = await roles.runOwnedCall(attempt.call);
  return result.mapErr(toAttemptFailure);
}

/**
 * @param refusal A refusal by this daemon.
 * @returns How an attempt ends by it.
 */
export function toAttemptFailure(refusal: Refusal): AttemptFailure {
  const kind = refusal.outcome === Outcome.NotRun ? FailureKind.Refused : FailureKind.Unknown;
  return { kind, refusal, load: undefined };
}
