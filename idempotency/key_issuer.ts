import { randomBytes } from 'node:crypto';
import type { Result } from 'neverthrow';
import type { Answer, Refusal } from '../contract/mod.ts';

const SECRET_BYTES = 32;

/** How a call under a key ended. */
export type KeyedResult = Result<Answer, Refusal>;

/** The one execution that a key allows. */
export interface KeyRecord {
  /** Hash of the method, path and body that the key was first used with. */
  digest: string;
  expiresAtMs: number;
  /** Settles once the execution has ended. */
  result: Promise<KeyedResult>;
  /** Its end, once known. */
  finalResult: KeyedResult | undefined;
  /** Bytes accounted for this record. */
  bytes: number;
}

/** Keys of one incarnation: the secret that signs them and the records of those used. */
export class KeyIssuer {
  readonly incarnation: string;
  readonly secret: Buffer;
  /** Added to the time of the present holder to get that of the issuing daemon, in milliseconds. */
  readonly clockOffsetMs: number;
  readonly records = new Map<number, KeyRecord>();
  #sequence = 0;
  #touchedAtMs = 0;

  /**
   * @param incarnation Incarnation of the issuing daemon.
   * @param secret Secret that signs its keys.
   * @param clockOffsetMs Difference of the issuing daemon's clock from the holder's.
   */
  constructor(incarnation: string, secret: Buffer = randomBytes(SECRET_BYTES), clockOffsetMs = 0) {
    this.incarnation = incarnation;
    this.secret = secret;
    this.clockOffsetMs = clockOffsetMs;
  }

  /** @returns A sequence number that no other key of this incarnation has. */
  nextSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }

  /** @param issuerNowMs Clock of the issuing daemon when its keys were handed over. */
  recordHandover(issuerNowMs: number): void {
    this.#touchedAtMs = issuerNowMs;
  }

  /**
   * @param issuerNowMs Clock of the issuing daemon now.
   * @returns Milliseconds since its keys were handed over.
   */
  msSinceHandover(issuerNowMs: number): number {
    return issuerNowMs - this.#touchedAtMs;
  }
}
