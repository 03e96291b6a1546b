import { Outcome, RefusalReason, type Refusal } from '../contract/mod.ts';

/** Delays after which a retry may succeed, in milliseconds. */
const RETRY_AFTER_MS: Partial<Record<RefusalReason, number>> = {
  // A daemon learns the versions in force within a few round trips to the platform.
  [RefusalReason.NotReady]: 200,
  // All daemons apply a version within a few round trips.
  [RefusalReason.VersionsDiffer]: 200,
  // Some calls at the targets complete meanwhile.
  [RefusalReason.TargetBusy]: 100,
  [RefusalReason.NoTarget]: 100,
  [RefusalReason.TargetDown]: 100,
  // Targets that shed at random may accept a retry.
  [RefusalReason.TargetShed]: 20,
};

/**
 * Adds a retry delay to a refusal if the call was not run and a retry may succeed.
 *
 * @param refusal A refusal for a caller.
 * @returns The refusal, with a retry delay if one applies.
 */
export function withRetryAfter(refusal: Refusal): Refusal {
  if (refusal.outcome !== Outcome.NotRun || refusal.retryAfterMs !== undefined) return refusal;
  const retryAfterMs = RETRY_AFTER_MS[refusal.reason];
  return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs };
}
