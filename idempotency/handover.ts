import { ok, err } from 'neverthrow';
import { RefusalReason, BufferedBody, makeUnknownRefusal, type Headers } from '../contract/mod.ts';
import { KeyIssuer, type KeyRecord, type KeyedResult } from './key_issuer.ts';

/** A kept answer on its way to a successor. */
export interface HandoverAnswer {
  status: number;
  headers: Headers;
  body: Uint8Array;
}

/** A used key on its way to a successor. */
export interface HandoverRecord {
  sequence: number;
  digest: string;
  expiresAtMs: number;
  bytes: number;
  /** The kept answer; without one the outcome is unknown. */
  answer: HandoverAnswer | undefined;
}

/** All keys of one incarnation on their way to a successor. */
export interface Handover {
  incarnation: string;
  secret: Uint8Array;
  /** Clock of the issuing daemon at the moment of the handover, in milliseconds. */
  issuerNowMs: number;
  records: HandoverRecord[];
}

/**
 * @param issuer The keys to give up.
 * @param nowMs Clock of the present holder, in milliseconds.
 * @returns What the successor needs.
 */
export function exportIssuer(issuer: KeyIssuer, nowMs: number): Handover {
  return {
    incarnation: issuer.incarnation,
    secret: issuer.secret,
    issuerNowMs: nowMs + issuer.clockOffsetMs,
    records: [...issuer.records].map(([sequence, record]) => exportRecord(sequence, record)),
  };
}

/**
 * @param handover What the former holder gave up.
 * @param nowMs Clock of the new holder, in milliseconds.
 * @returns The keys as the new holder keeps them.
 */
export function importIssuer(handover: Handover, nowMs: number): KeyIssuer {
  const offsetMs = handover.issuerNowMs - nowMs;
  const issuer = new KeyIssuer(handover.incarnation, Buffer.from(handover.secret), offsetMs);
  for (const record of handover.records) issuer.records.set(record.sequence, importRecord(record));
  issuer.recordHandover(handover.issuerNowMs);
  return issuer;
}

function exportRecord(sequence: number, record: KeyRecord): HandoverRecord {
  const { digest, expiresAtMs, bytes, finalResult: ended } = record;
  return { sequence, digest, expiresAtMs, bytes, answer: exportAnswer(ended) };
}

function exportAnswer(ended: KeyedResult | undefined): HandoverAnswer | undefined {
  if (!ended || ended.isErr()) return undefined;
  const { status, headers, body } = ended.value;
  return body instanceof BufferedBody ? { status, headers, body: body.bytes } : undefined;
}

function importRecord(record: HandoverRecord): KeyRecord {
  const { digest, expiresAtMs, bytes, answer } = record;
  const ended: KeyedResult = answer
    ? ok({ ...answer, body: new BufferedBody(answer.body), load: undefined })
    : err(
        makeUnknownRefusal(RefusalReason.AnswerLost, 'the answer was lost when its owner stopped'),
      );
  return { digest, expiresAtMs, bytes, result: Promise.resolve(ended), finalResult: ended };
}
