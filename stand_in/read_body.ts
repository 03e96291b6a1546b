import type { IncomingMessage } from 'node:http';

/**
 * Reads the body of a request.
 *
 * @param req The request.
 * @returns The complete body; `undefined` if it was truncated.
 */
export async function readBody(req: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of req) chunks.push(chunk as Buffer);
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}
