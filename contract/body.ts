import { err, ok, type Result } from 'neverthrow';

/** Why a body ended before it was whole. */
export interface BodyError {
  detail: string;
}

/** One part of a body, or the point at which it was cut off. */
export type BodyChunk = Result<Uint8Array, BodyError>;

/** A body in transit; ends after its first cut. */
export type Body = AsyncIterable<BodyChunk>;

/** Why {@linkcode collectBody} gave no body. */
export enum CollectFailure {
  Truncated = 'cut',
  TooLarge = 'too-large',
}

/** A body that is in memory as a whole. */
export class BufferedBody implements Body {
  readonly bytes: Uint8Array;

  /** @param bytes The whole body. */
  constructor(bytes: Uint8Array) {
    this.bytes = bytes;
  }

  async *[Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    if (this.bytes.length > 0) yield await Promise.resolve(ok(this.bytes));
  }
}

/** A body without content. */
export const EMPTY_BODY = new BufferedBody(new Uint8Array());

/**
 * Reads a body into memory.
 *
 * @param body The body to read.
 * @param limitBytes Largest size to accept, in bytes.
 * @returns The whole body, or why it cannot be had.
 */
export async function collectBody(
  body: Body,
  limitBytes: number,
): Promise<Result<BufferedBody, CollectFailure>> {
  if (body instanceof BufferedBody) {
    return body.bytes.length > limitBytes ? err(CollectFailure.TooLarge) : ok(body);
  }
  const parts: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    if (chunk.isErr()) return err(CollectFailure.Truncated);
    size += chunk.value.length;
    if (size > limitBytes) return err(CollectFailure.TooLarge);
    parts.push(chunk.value);
  }
  const [only] = parts;
  return ok(new BufferedBody(parts.length === 1 && only ? only : Buffer.concat(parts)));
}

/** How the transfer of a body ended. */
export enum BodyEnd {
  Complete = 'whole',
  Truncated = 'cut',
  /** The reader stopped before the end. */
  Cancelled = 'abandoned',
}

/**
 * Watches for the end of a body's transfer.
 *
 * @param body The body; a {@linkcode BufferedBody} counts as transferred at once.
 * @param onEnd Called once, as soon as the transfer has ended.
 * @returns The body to read in place of the original.
 */
export function watchBody(body: Body, onEnd: (end: BodyEnd) => void): Body {
  if (body instanceof BufferedBody) {
    onEnd(BodyEnd.Complete);
    return body;
  }
  return new WatchedBody(body, onEnd);
}

class WatchedBody implements Body {
  readonly #body: Body;
  readonly #onEnd: (end: BodyEnd) => void;
  #ended = false;

  constructor(body: Body, onEnd: (end: BodyEnd) => void) {
    this.#body = body;
    this.#onEnd = onEnd;
  }

  [Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    const inner = this.#body[Symbol.asyncIterator]();
    return {
      next: async () => {
        const item = await inner.next();
        if (item.done) this.#end(BodyEnd.Complete);
        else if (item.value.isErr()) this.#end(BodyEnd.Truncated);
        return item;
      },
      return: async () => {
        this.#end(BodyEnd.Cancelled);
        await inner.return?.();
        return { done: true, value: undefined };
      },
    };
  }

  #end(end: BodyEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#onEnd(end);
  }
}

/**
 * Ends a body's transfer without reading it.
 *
 * @param body The body to give up.
 */
export async function cancelBody(body: Body): Promise<void> {
  await body[Symbol.asyncIterator]().return?.();
}

/** Bytes of a streamed body that are kept for a further attempt; also the flow control window. */
export const REPLAY_LIMIT_BYTES = 65_536;

/**
 * A streamed body that can be read again from its start as long as no more
 * than {@linkcode REPLAY_LIMIT_BYTES} of it were read.
 */
export class ReplayableBody implements Body {
  readonly #source: AsyncIterator<BodyChunk>;
  readonly #kept: BodyChunk[] = [];
  #keptBytes = 0;
  #isEnded = false;
  #isSpent = false;
  #pulling: Promise<void> | undefined;
  #readers = 0;

  /** @param source The body; read only once. */
  constructor(source: Body) {
    this.#source = source[Symbol.asyncIterator]();
  }

  /** @returns Whether it can no longer be read from its start. */
  get hasExceededReplayLimit(): boolean {
    return this.#isSpent;
  }

  async *[Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    this.#readers += 1;
    const reader = this.#readers;
    if (this.#isSpent) {
      yield err({ detail: 'the start of the body is no longer kept' });
      return;
    }
    for (let index = 0; ; index += 1) {
      const chunk = await this.#chunkAt(index);
      if (!chunk || !this.#isLatest(reader)) return;
      yield chunk;
      if (this.hasExceededReplayLimit) index = this.#dropRead(index);
    }
  }

  /** Ends the source without reading it to its end. */
  async cancel(): Promise<void> {
    this.#isEnded = true;
    await this.#source.return?.();
  }

  async #chunkAt(index: number): Promise<BodyChunk | undefined> {
    while (index >= this.#kept.length && !this.#isEnded) await this.#pull();
    return this.#kept[index];
  }

  #pull(): Promise<void> {
    this.#pulling ??= this.#pullOne().finally(() => {
      this.#pulling = undefined;
    });
    return this.#pulling;
  }

  async #pullOne(): Promise<void> {
    const item = await this.#source.next();
    if (item.done) {
      this.#isEnded = true;
      return;
    }
    this.#kept.push(item.value);
    if (item.value.isErr()) this.#isEnded = true;
    else this.#keptBytes += item.value.value.length;
    if (this.#keptBytes > REPLAY_LIMIT_BYTES) this.#isSpent = true;
  }

  #isLatest(reader: number): boolean {
    return reader === this.#readers;
  }

  #dropRead(index: number): number {
    this.#kept.splice(0, index + 1);
    return -1;
  }
}

/** Options of {@linkcode limitBody}. */
export interface LimitBodyOptions {
  /** Called once if the body exceeds the limit. */
  onExceeded?: () => void;
}

/**
 * @param body A body of unknown size.
 * @param limitBytes Largest size to let through, in bytes.
 * @param options See {@linkcode LimitBodyOptions}.
 * @returns The same body, cut off at the limit.
 */
export async function* limitBody(
  body: Body,
  limitBytes: number,
  options: LimitBodyOptions = {},
): AsyncGenerator<BodyChunk> {
  let size = 0;
  for await (const chunk of body) {
    if (chunk.isOk()) size += chunk.value.length;
    if (size > limitBytes) {
      options.onExceeded?.();
      yield err({ detail: `expected a body of at most ${limitBytes} bytes, got more` });
      return;
    }
    yield chunk;
  }
}
