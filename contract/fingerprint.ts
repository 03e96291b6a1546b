import { createHash } from 'node:crypto';
import { BufferedBody } from './body.ts';
import type { Call } from './call.ts';
import { RecordedBody } from './recorded_body.ts';

/** Length of a fingerprint; it stands for 128 bits of the digest. */
const FINGERPRINT_LENGTH = 22;

/**
 * Computes the fingerprint of a call, which is the same whenever the call is made again, at any
 * entry. The caller's pool is no part of it, as entries beside targets of any pool may be used.
 *
 * @param call The call.
 * @returns Its fingerprint; `undefined` while its body has not been read, or if it is too large to
 * be kept.
 */
export function computeFingerprint({
  route,
  method,
  pathAndQuery,
  body,
}: Call): string | undefined {
  const bytes = getCompleteBytes(body);
  if (!bytes) return undefined;
  return createHash('sha256')
    .update(JSON.stringify([route.workspace, method, pathAndQuery]))
    .update(bytes)
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
}

function getCompleteBytes(body: Call['body']): Uint8Array | undefined {
  if (body instanceof BufferedBody) return body.bytes;
  return body instanceof RecordedBody ? body.completeBytes : undefined;
}
