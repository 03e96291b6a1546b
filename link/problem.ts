import { Outcome, RefusalReason, type Refusal } from '../contract/mod.ts';
import type { HttpDialect } from './http_dialect.ts';

/** HTTP status of each reason for a refusal. */
const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.UnknownWorkspace]: 404,
  [RefusalReason.UnknownRoute]: 404,
  [RefusalReason.VersionsDiffer]: 503,
  [RefusalReason.MalformedDeadline]: 400,
  [RefusalReason.DeadlinePassed]: 504,
  [RefusalReason.TooDeep]: 400,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.BodyCut]: 400,
  [RefusalReason.AnswerTooLarge]: 502,
  [RefusalReason.KeyRequired]: 428,
  [RefusalReason.KeyInvalid]: 400,
  [RefusalReason.KeyExpired]: 409,
  [RefusalReason.KeyReused]: 422,
  [RefusalReason.KeyOwnerGone]: 502,
  [RefusalReason.KeyStoreFull]: 503,
  [RefusalReason.OutsideHomeRegions]: 421,
  [RefusalReason.DomainOut]: 503,
  [RefusalReason.Leaving]: 503,
  [RefusalReason.NotReady]: 503,
  [RefusalReason.TargetBusy]: 503,
  [RefusalReason.TargetRateLimited]: 503,
  [RefusalReason.TargetShed]: 503,
  [RefusalReason.TargetSlow]: 503,
  [RefusalReason.TargetDown]: 503,
  [RefusalReason.NoTarget]: 503,
  [RefusalReason.RetryBudgetSpent]: 503,
  [RefusalReason.Quarantined]: 503,
  [RefusalReason.Cancelled]: 499,
  [RefusalReason.Fenced]: 503,
  [RefusalReason.AnswerLost]: 502,
};

/** Status of a call that may have run; 503 would promise that it did not. */
const UNKNOWN_STATUS = 502;
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** An RFC 9457 problem document with its status and headers. */
export interface Problem {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/**
 * Converts a refusal to a problem document.
 *
 * @param refusal The refusal.
 * @param callId Identifier of the call.
 * @param dialect The dialect of the caller.
 * @returns The problem document to send.
 */
export function toProblem(refusal: Refusal, callId: string, dialect: HttpDialect): Problem {
  const status = selectStatus(refusal);
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (status === 503) headers['retry-after'] = dialect.formatRetryAfter(refusal.retryAfterMs ?? 0);
  const { reason, outcome, detail, addresses } = refusal;
  const type = `urn:rhubarbkeel:refusal:${reason}`;
  const document = { type, title: reason, status, detail, outcome, call: callId, addresses };
  return { status, headers, body: JSON.stringify(document) };
}

function selectStatus({ reason, outcome }: Refusal): number {
  const status = STATUS_BY_REASON[reason];
  return outcome === Outcome.Unknown && NOT_RUN_STATUSES.has(status) ? UNKNOWN_STATUS : status;
}
