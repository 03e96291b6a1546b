import { RefusalReason, type Refusal } from '../contract/mod.ts';
import { HeaderName } from './headers.ts';

/** HTTP status of each kind of refusal. */
const STATUS: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.UnknownWorkspace]: 404,
  [RefusalReason.UnknownRoute]: 404,
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
  [RefusalReason.TargetDown]: 503,
  [RefusalReason.NoTarget]: 503,
  [RefusalReason.RetryBudgetSpent]: 503,
  [RefusalReason.Quarantined]: 503,
  [RefusalReason.Cancelled]: 499,
  [RefusalReason.Fenced]: 503,
  [RefusalReason.AnswerLost]: 502,
};

const MS_PER_SECOND = 1_000;

/** An RFC 9457 problem document with its status and headers. */
export interface Problem {
  status: number;
  headers: Record<string, string>;
  body: string;
}

/**
 * @param refusal The refusal.
 * @param callId Identifier of the call.
 * @returns The problem document that tells the caller.
 */
export function toProblem(refusal: Refusal, callId: string): Problem {
  const status = STATUS[refusal.reason];
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    [HeaderName.Outcome]: refusal.outcome,
  };
  if (status === 503) {
    headers['retry-after'] = String(Math.ceil((refusal.retryAfterMs ?? 0) / MS_PER_SECOND));
  }
  const { reason, outcome, detail, addresses } = refusal;
  const type = `urn:rhubarbkeel:refusal:${reason}`;
  const document = { type, title: reason, status, detail, outcome, call: callId, addresses };
  return { status, headers, body: JSON.stringify(document) };
}
