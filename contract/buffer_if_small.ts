import { BufferedBody, type Body, type BodyChunk } from './body.ts';

const NO_BYTES = new Uint8Array();

/**
 * Reads a body into memory if it is small.
 *
 * @param body The body to read.
 * @param limitBytes Largest size to buffer, in bytes.
 * @returns The buffered body; if it is larger or truncated, a body with the same content, part of
 * which is in transit.
 */
export async function bufferIfSmall(body: Body, limitBytes: number): Promise<Body> {
  const chunks: BodyChunk[] = [];
  let size = 0;
  const source = body[Symbol.asyncIterator]();
  for (;;) {
    const item = await source.next();
    if (item.done === true) {
      return new BufferedBody(Buffer.concat(chunks.map((chunk) => chunk.unwrapOr(NO_BYTES))));
    }
    chunks.push(item.value);
    size += item.value.unwrapOr(NO_BYTES).length;
    if (item.value.isErr() || size > limitBytes) return continueBody(chunks, source);
  }
}

async function* continueBody(
  chunks: readonly BodyChunk[],
  source: AsyncIterator<BodyChunk>,
): AsyncGenerator<BodyChunk> {
  try {
    yield* chunks;
    for (;;) {
      const item = await source.next();
      if (item.done === true) return;
      yield item.value;
    }
  } finally {
    await source.return?.();
  }
}
