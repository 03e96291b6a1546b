import { err, ok } from 'neverthrow';
import type { BodyChunk } from '../contract/mod.ts';

/**
 * Converts a stream of bytes to a body.
 *
 * @param stream The stream.
 * @returns The same bytes as a body, truncated where the stream fails.
 */
export async function* toBody(stream: AsyncIterable<Uint8Array>): AsyncGenerator<BodyChunk> {
  try {
    for await (const bytes of stream) yield ok(bytes);
  } catch (error) {
    yield err({ detail: error instanceof Error ? error.message : 'the stream broke' });
  }
}
