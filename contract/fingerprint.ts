import { createHash } from 'node:crypto';
import { BufferedBody, ReplayableBody, type BodyPrefix } from './body.ts';
import type { Call, Headers } from './call.ts';
import { RecordedBody } from './recorded_body.ts';

/** Length of a fingerprint; it stands for 128 bits of the digest. */
const FINGERPRINT_LENGTH = 22;

const LENGTH_HEADER = 'content-length';

/**
 * Computes the fingerprint of a call, which is the same whenever the call is made again, at any
 * entry. The caller's pool is no part of it, as entries beside targets of any pool may be used.
 * Of a long body it covers the start and the stated length, which an entry knows before it sends
 * the call.
 *
 * @param call The call.
 * @returns Its fingerprint; `undefined` while the start of its body has not been read.
 */
export function computeFingerprint({
  route,
  method,
  pathAndQuery,
  headers,
  body,
}: Call): string | undefined {
  const prefix = getPrefix(body);
  if (!prefix) return undefined;
  const length = prefix.isWhole ? prefix.bytes.length : getStatedLength(headers);
  return createHash('sha256')
    .update(JSON.stringify([route.workspace, method, pathAndQuery, length]))
    .update(prefix.bytes)
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
}

function getPrefix(body: Call['body']): BodyPrefix | undefined {
  const isPrefixed =
    body instanceof BufferedBody || body instanceof RecordedBody || body instanceof ReplayableBody;
  return isPrefixed ? body.prefix : undefined;
}

function getStatedLength(headers: Headers): string | undefined {
  return headers.find(([name]) => name.toLowerCase() === LENGTH_HEADER)?.[1];
}
