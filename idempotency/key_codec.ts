import { createHmac, timingSafeEqual } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { RefusalReason, makeNotRunRefusal, type Refusal, type Route } from '../contract/mod.ts';

/** Claims that an idempotency key carries. */
export interface KeyClaims {
  /** Instance whose daemon issued the key. */
  ownerId: string;
  /** Region of that instance; the key's records stay in it. */
  region: string;
  /** Incarnation of that daemon. */
  incarnation: string;
  /** Unique among the keys of the incarnation. */
  sequence: number;
  /** Expiry time on the issuing daemon's clock, in milliseconds. */
  expiresAtMs: number;
}

const MAX_KEY_LENGTH = 512;

/**
 * Signs a key for one route.
 *
 * @param claims Claims that the key carries.
 * @param route The only route that the key is valid for.
 * @param options The issuer's secret.
 * @returns The key as text that can be used in a header.
 */
export function signKey(claims: KeyClaims, route: Route, options: { secret: Buffer }): string {
  const { ownerId, region, incarnation, sequence, expiresAtMs } = claims;
  const fields = [ownerId, region, incarnation, sequence, expiresAtMs];
  const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
  return `${payload}.${computeSignature(payload, route, options.secret).toString('base64url')}`;
}

/**
 * Parses a key without verifying its signature.
 *
 * @param text The key.
 * @returns Its claims, or a refusal if it is malformed.
 */
export function parseKey(text: string): Result<KeyClaims, Refusal> {
  const [payload, mac, ...rest] = text.split('.');
  if (!payload || !mac || rest.length > 0 || text.length > MAX_KEY_LENGTH)
    return err(makeMalformedKeyRefusal());
  return parsePayload(payload).andThen((fields) => {
    if (!Array.isArray(fields)) return err(makeMalformedKeyRefusal());
    const [ownerId, region, incarnation, sequence, expiresAtMs] = fields as unknown[];
    const names = [ownerId, region, incarnation];
    if (!names.every((name) => typeof name === 'string')) return err(makeMalformedKeyRefusal());
    if (![sequence, expiresAtMs].every(Number.isSafeInteger)) return err(makeMalformedKeyRefusal());
    return ok({ ownerId, region, incarnation, sequence, expiresAtMs } as KeyClaims);
  });
}

/**
 * Verifies a key's signature in constant time.
 *
 * @param text The key.
 * @param route The route that it is used for.
 * @param options The issuer's secret.
 * @returns Whether the issuer signed it for this route.
 */
export function hasValidSignature(
  text: string,
  route: Route,
  options: { secret: Buffer },
): boolean {
  const [payload = '', mac = ''] = text.split('.');
  const expected = computeSignature(payload, route, options.secret);
  const actual = Buffer.from(mac, 'base64url');
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}

function computeSignature(payload: string, route: Route, secret: Buffer): Buffer {
  const subject = JSON.stringify([payload, route.workspace, route.name]);
  return createHmac('sha256', secret).update(subject).digest();
}

function parsePayload(payload: string): Result<unknown, Refusal> {
  try {
    return ok(JSON.parse(Buffer.from(payload, 'base64url').toString()) as unknown);
  } catch {
    return err(makeMalformedKeyRefusal());
  }
}

function makeMalformedKeyRefusal(): Refusal {
  const detail = 'expected an idempotency key issued by this system, got another text';
  return makeNotRunRefusal(RefusalReason.KeyInvalid, detail);
}
