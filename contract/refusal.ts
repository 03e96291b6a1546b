import { Outcome } from './outcome.ts';

/** Reasons why a call got no answer from a target. */
export enum RefusalReason {
  UnknownWorkspace = 'unknown-workspace',
  UnknownRoute = 'unknown-route',
  /** Two daemons disagree on the rules in force or on an instance's pool; not the call's fault. */
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
  /** The target has named a rate of calls that it takes, and a further call would wait too long. */
  TargetRateLimited = 'target-rate-limited',
  /** With its current slowdown the target would not complete the call in time. */
  TargetSlow = 'target-slow',
  /** The target itself shed the call without running it. */
  TargetShed = 'target-shed',
  TargetDown = 'target-down',
  NoTarget = 'no-target',
  RetryBudgetSpent = 'retry-budget-spent',
  Quarantined = 'quarantined',
  Cancelled = 'cancelled',
  Fenced = 'fenced',
  AnswerLost = 'answer-lost',
}

/** Reason and known outcome of a call or an attempt that got no answer from a target. */
export interface Refusal {
  reason: RefusalReason;
  outcome: Outcome;
  /** What was received and what would have been accepted. */
  detail: string;
  /** Shortest useful wait before a retry, in milliseconds. */
  retryAfterMs?: number;
  /** New idempotency key for the retry. */
  nextKey?: string;
  /** `host:port` of daemons that may accept the call. */
  addresses?: readonly string[];
  /** Version of the configuration in force at the daemon that refused. */
  version?: number;
}

/**
 * Makes the refusal of a call that no target ran.
 *
 * @param reason The reason.
 * @param detail What was received.
 * @returns A refusal whose outcome is {@linkcode Outcome.NotRun}.
 */
export function makeNotRunRefusal(reason: RefusalReason, detail: string): Refusal {
  return { reason, outcome: Outcome.NotRun, detail };
}

/**
 * Makes the refusal of a call that a target may have run.
 *
 * @param reason The reason why the outcome is unknown.
 * @param detail What was observed.
 * @returns A refusal whose outcome is {@linkcode Outcome.Unknown}.
 */
export function makeUnknownRefusal(reason: RefusalReason, detail: string): Refusal {
  return { reason, outcome: Outcome.Unknown, detail };
}
