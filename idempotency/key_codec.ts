import { createHmac, timingSafeEqual } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { RefusalReason, makeNotRunRefusal, type Refusal, type Route } from '../contract/mod.ts';

/** What an idempotency key says about itself. */
export interface KeyClaims {
  /** Instance whose daemon issued the key. */
  ownerId: string;
  /** Region of that instance; the key's records stay in it. */
  region: string;
  /** Incarnation of that daemon. */
  incarnation: string;
  /** Unique among the keys of the incarnation. */
  sequence: number;
  /** End of the key's life on the issuing daemon's clock, in milliseconds. */
  expiresAtMs: number;
}

const MAX_KEY_LENGTH = 512;

/**
 * Signs a key for one route.
 *
 * @param claims What the key says.
 * @param route The only route that it is valid for.
 * @param options The issuer's secret.
 * @returns The key as text, fit for a header.
 */
export function signKey(claims: KeyClaims, route: Route, options: { secret: Buffer }): string {
  const { ownerId, region, incarnation, sequence, expiresAtMs } = claims;
  const fields = [ownerId, region, incarnation, sequence, expiresAtMs];
  const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
  return `${payload}.${signature(payload, route, options.secret).toString('base64url')}`;
}

/**
 * Reads a key without checking its signature.
 *
 * @param text The key.
 * @returns What it says, or a refusal if it is malformed.
 */
export function parseKey(text: string): Result<KeyClaims, Refusal> {
  const [payload, mac, ...rest] = text.split('.');
  if (!payload || !mac || rest.length > 0 || text.length > MAX_KEY_LENGTH) return err(malformed());
  return parsePayload(payload).andThen((fields) => {
    if (!Array.isArray(fields)) return err(malformed());
    const [ownerId, region, incarnation, sequence, expiresAtMs] = fields as unknown[];
    const names = [ownerId, region, incarnation];
    if (!names.every((name) => typeof name === 'string')) return err(malformed());
    if (![sequence, expiresAtMs].every(Number.isSafeInteger)) return err(malformed());
    return ok({ ownerId, region, incarnation, sequence, expiresAtMs } as KeyClaims);
  });
}

/**
 * Compares a key's signature in constant time.
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
  const expected = signature(payload, route, options.secret);
  const got = Buffer.from(mac, 'base64url');
  return got.length === expected.length && timingSafeEqual(got, expected);
}

function signature(payload: string, route: Route, secret: Buffer): Buffer {
  const subject = JSON.stringify([payload, route.workspace, route.name]);
  return createHmac('sha256', secret).update(subject).digest();
}

function parsePayload(payload: string): Result<unknown, Refusal> {
  try {
    return ok(JSON.parse(Buffer.from(payload, 'base64url').toString()) as unknown);
  } catch {
    return err(malformed());
  }
}

function malformed(): Refusal {
  const detail = 'expected an idempotency key issued by this system, got another text';
  return makeNotRunRefusal(RefusalReason.KeyInvalid, detail);
}
