import { Outcome, RefusalReason, type Refusal } from '../contract/mod.ts';

/** Waits after which another try is worthwhile, in milliseconds, by what has to change until then. */
const RETRY_AFTER_MS: Partial<Record<RefusalReason, number>> = {
  // A daemon learns the versions in force in a few round trips to the platform.
  [RefusalReason.NotReady]: 200,
  // A version comes into force everywhere in a few round trips.
  [RefusalReason.VersionsDiffer]: 200,
  // Some calls end at the targets meanwhile.
  [RefusalReason.TargetBusy]: 100,
  [RefusalReason.NoTarget]: 100,
  [RefusalReason.TargetDown]: 100,
  // Targets that shed at random may accept the next try.
  [RefusalReason.TargetShed]: 20,
};

/**
 * @param refusal A refusal for a caller.
 * @returns The same refusal, with a wait if the call has not run and another try may succeed.
 */
export function withRetryAfter(refusal: Refusal): Refusal {
  if (refusal.outcome !== Outcome.NotRun || refusal.retryAfterMs !== undefined) return refusal;
  const retryAfterMs = RETRY_AFTER_MS[refusal.reason];
  return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs };
}
