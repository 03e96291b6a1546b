import { ok, err } from 'neverthrow';
import {
  RefusalReason,
  BufferedBody,
  isFinalStatus,
  makeUnknownRefusal,
  type Headers,
} from '../contract/mod.ts';
import { KeyIssuer, type KeyRecord, type KeyedResult } from './key_issuer.ts';

/** A kept answer, as handed over to a successor. */
export interface HandoverAnswer {
  status: number;
  headers: Headers;
  body: Uint8Array;
}

/** A used key, as handed over to a successor. */
export interface HandoverRecord {
  sequence: number;
  digest: string;
  expiresAtMs: number;
  bytes: number;
  /** The kept answer; without one, the outcome of the call is unknown. */
  answer: HandoverAnswer | undefined;
}

/** All keys of one incarnation, as handed over to a successor. */
export interface Handover {
  incarnation: string;
  secret: Uint8Array;
  /** Clock of the issuing daemon at the time of the handover, in milliseconds. */
  issuerNowMs: number;
  records: HandoverRecord[];
}

/**
 * Exports the keys of one incarnation for a successor.
 *
 * @param issuer The keys to hand over.
 * @param nowMs Clock of the current owner, in milliseconds.
 * @returns The keys, with the secret that signs them.
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
 * Restores the keys of one incarnation from a handover.
 *
 * @param handover The keys that the previous owner exported.
 * @param nowMs Clock of the new owner, in milliseconds.
 * @returns The keys, with the offset of the issuing daemon's clock from the new owner's.
 */
export function importIssuer(handover: Handover, nowMs: number): KeyIssuer {
  const clockOffsetMs = handover.issuerNowMs - nowMs;
  const issuer = new KeyIssuer(handover.incarnation, Buffer.from(handover.secret), clockOffsetMs);
  for (const record of handover.records) issuer.records.set(record.sequence, importRecord(record));
  issuer.recordHandover(handover.issuerNowMs);
  return issuer;
}

function exportRecord(sequence: number, record: KeyRecord): HandoverRecord {
  const { digest, expiresAtMs, bytes, finalResult } = record;
  return { sequence, digest, expiresAtMs, bytes, answer: exportAnswer(finalResult) };
}

function exportAnswer(result: KeyedResult | undefined): HandoverAnswer | undefined {
  if (!result || result.isErr()) return undefined;
  const { status, headers, body } = result.value;
  return body instanceof BufferedBody ? { status, headers, body: body.bytes } : undefined;
}

function importRecord(record: HandoverRecord): KeyRecord {
  const { digest, expiresAtMs, bytes, answer } = record;
  // A daemon of the build before may have kept an answer with any status.
  const isValid = answer !== undefined && isFinalStatus(answer.status);
  const finalResult: KeyedResult = isValid
    ? ok({ ...answer, body: new BufferedBody(answer.body), load: undefined })
    : err(
        makeUnknownRefusal(RefusalReason.AnswerLost, 'the answer was lost when its owner stopped'),
      );
  return { digest, expiresAtMs, bytes, result: Promise.resolve(finalResult), finalResult };
}
