import { randomBytes } from 'node:crypto';
import type { Result } from 'neverthrow';
import type { Answer, Refusal } from '../contract/mod.ts';

const SECRET_BYTES = 32;

/** Result of a call made under a key. */
export type KeyedResult = Result<Answer, Refusal>;

/** The one execution that a key allows. */
export interface KeyRecord {
  /** Hash of the method, path and body that the key was first used with. */
  digest: string;
  expiresAtMs: number;
  /** Resolves when the execution completes. */
  result: Promise<KeyedResult>;
  /** The result to return, once the execution has completed. */
  finalResult: KeyedResult | undefined;
  /** Memory reserved for this record, in bytes. */
  bytes: number;
}

/** Keys of one incarnation: the secret that signs them and the records of those used. */
export class KeyIssuer {
  readonly incarnation: string;
  readonly secret: Buffer;
  /** Difference of the issuing daemon's clock from the current owner's, in milliseconds. */
  readonly clockOffsetMs: number;
  readonly records = new Map<number, KeyRecord>();
  #sequence = 0;
  #handedOverAtMs = 0;

  /**
   * @param incarnation Incarnation of the issuing daemon.
   * @param secret Secret that signs its keys.
   * @param clockOffsetMs Difference of the issuing daemon's clock from the owner's, in milliseconds.
   */
  constructor(incarnation: string, secret: Buffer = randomBytes(SECRET_BYTES), clockOffsetMs = 0) {
    this.incarnation = incarnation;
    this.secret = secret;
    this.clockOffsetMs = clockOffsetMs;
  }

  /** @returns The next sequence number, unique among the keys of this incarnation. */
  nextSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }

  /**
   * Records when the keys were handed over.
   *
   * @param issuerNowMs Clock of the issuing daemon at that time, in milliseconds.
   */
  recordHandover(issuerNowMs: number): void {
    this.#handedOverAtMs = issuerNowMs;
  }

  /**
   * @param issuerNowMs Current clock of the issuing daemon, in milliseconds.
   * @returns Time since the keys were handed over, in milliseconds.
   */
  msSinceHandover(issuerNowMs: number): number {
    return issuerNowMs - this.#handedOverAtMs;
  }
}
