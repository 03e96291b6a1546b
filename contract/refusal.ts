import { Outcome } from './outcome.ts';

/** Why a call got no answer from a target. */
export enum RefusalReason {
  UnknownWorkspace = 'unknown-workspace',
  UnknownRoute = 'unknown-route',
  /** Two daemons differ in the rules in force, or in the pool of an instance; the call is not at fault. */
  VersionsDiffer = 'versions-differ',
  MalformedDeadline = 'malformed-deadline',
  DeadlinePassed = 'deadline-passed',
  TooDeep = 'too-deep',
  BodyTooLarge = 'body-too-large',
  BodyCut = 'body-cut',
  AnswerTooLarge = 'answer-too-large',
  KeyRequired = 'key-required',
  KeyInvalid = 'key-invalid',
  KeyExpired = 'key-expired',
  KeyReused = 'key-reused',
  KeyOwnerGone = 'key-owner-gone',
  KeyStoreFull = 'key-store-full',
  OutsideHomeRegions = 'outside-home-regions',
  DomainOut = 'domain-out',
  Leaving = 'leaving',
  NotReady = 'not-ready',
  TargetBusy = 'target-busy',
  /** The target works too slowly now for the call to end in time. */
  TargetSlow = 'target-slow',
  /** The target itself refused the call unrun. */
  TargetShed = 'target-shed',
  TargetDown = 'target-down',
  NoTarget = 'no-target',
  RetryBudgetSpent = 'retry-budget-spent',
  Quarantined = 'quarantined',
  Cancelled = 'cancelled',
  Fenced = 'fenced',
  AnswerLost = 'answer-lost',
}

/** A call or attempt that ends without an answer from a target. */
export interface Refusal {
  reason: RefusalReason;
  outcome: Outcome;
  /** What was got and what would have been accepted. */
  detail: string;
  /** Shortest useful wait before another try, in milliseconds. */
  retryAfterMs?: number;
  /** A fresh idempotency key for the next try. */
  nextKey?: string;
  /** `host:port` of daemons that may accept the call. */
  addresses?: readonly string[];
  /** Version of the configuration in force at the daemon that refused. */
  version?: number;
}

/**
 * @param reason Why no target ran the call.
 * @param detail What was got.
 * @returns A refusal whose outcome is {@linkcode Outcome.NotRun}.
 */
export function makeNotRunRefusal(reason: RefusalReason, detail: string): Refusal {
  return { reason, outcome: Outcome.NotRun, detail };
}

/**
 * @param reason Why the outcome cannot be told.
 * @param detail What was seen.
 * @returns A refusal whose outcome is {@linkcode Outcome.Unknown}.
 */
export function makeUnknownRefusal(reason: RefusalReason, detail: string): Refusal {
  return { reason, outcome: Outcome.Unknown, detail };
}
