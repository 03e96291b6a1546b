import type { IncomingMessage } from 'node:http';

/**
 * @param req A request.
 * @returns Its whole body; nothing if it was cut off.
 */
export async function readBody(req: IncomingMessage): Promise<Buffer | undefined> {
  const parts: Buffer[] = [];
  try {
    for await (const part of req) parts.push(part as Buffer);
  } catch {
    return undefined;
  }
  return Buffer.concat(parts);
}
