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

/** Handlers of a daemon for the attempts that it receives. */
export interface AttemptHandlers {
  /** Executes attempts at this daemon's target. */
  guard: AttemptPort;
  /** Runs a call whose key this daemon owns. */
  runOwnedCall: (call: Call) => Promise<Result<Answer, Refusal>>;
}

/**
 * Passes an attempt to the handler for its receiver role.
 *
 * @param attempt The attempt.
 * @param handlers The handlers of the receiving daemon.
 * @returns The result of the attempt.
 */
export async function executeAttempt(
  attempt: Attempt,
  handlers: AttemptHandlers,
): Promise<AttemptResult> {
  if (attempt.receiverRole === ReceiverRole.Guard) return handlers.guard.send(attempt);
  const result = await handlers.runOwnedCall(attempt.call);
  return result.mapErr(toAttemptFailure);
}

/**
 * Converts a refusal to the failure of an attempt.
 *
 * @param refusal A refusal by this daemon.
 * @returns The failure of the refused attempt.
 */
export function toAttemptFailure(refusal: Refusal): AttemptFailure {
  const kind = refusal.outcome === Outcome.NotRun ? FailureKind.Refused : FailureKind.Unknown;
  return { kind, refusal, load: undefined };
}
