import { err, ok, type Result } from 'neverthrow';
import type { RecordedBody } from './recorded_body.ts';

/** Error of a body that ended before it was complete. */
export interface BodyError {
  detail: string;
}

/** One part of a body, or the error with which it was truncated. */
export type BodyChunk = Result<Uint8Array, BodyError>;

/** A body in transit; ends after its first error. */
export type Body = AsyncIterable<BodyChunk>;

/** Reasons why {@linkcode collectBody} returned no body. */
export enum CollectFailure {
  Truncated = 'cut',
  TooLarge = 'too-large',
}

/** Bytes at the start of a body that identify it. */
export const IDENTIFYING_BYTES = 65_536;

/** The first {@linkcode IDENTIFYING_BYTES} of a body. */
export interface BodyPrefix {
  bytes: Uint8Array;
  /** Whether the body has no further bytes. */
  isWhole: boolean;
}

/** A complete body in memory. */
export class BufferedBody implements Body {
  readonly bytes: Uint8Array;

  /** @param bytes The complete body. */
  constructor(bytes: Uint8Array) {
    this.bytes = bytes;
  }

  /** @returns The start of the body. */
  get prefix(): BodyPrefix {
    const isWhole = this.bytes.length <= IDENTIFYING_BYTES;
    return { bytes: this.bytes.subarray(0, IDENTIFYING_BYTES), isWhole };
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
 * @returns The buffered body, or the reason why there is none.
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

/** Ways in which the transfer of a body ends. */
export enum BodyEnd {
  Complete = 'whole',
  Truncated = 'cut',
  /** The reader stopped before the body was complete. */
  Cancelled = 'abandoned',
}

/**
 * Observes the end of a body's transfer.
 *
 * @param body The body; a {@linkcode BufferedBody} counts as complete at once.
 * @param onEnd Called once, when the transfer ends.
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
  #hasEnded = false;

  constructor(body: Body, onEnd: (end: BodyEnd) => void) {
    this.#body = body;
    this.#onEnd = onEnd;
  }

  [Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    const inner = this.#body[Symbol.asyncIterator]();
    return {
      next: async () => {
        const item = await inner.next();
        if (item.done) this.#reportEnd(BodyEnd.Complete);
        else if (item.value.isErr()) this.#reportEnd(BodyEnd.Truncated);
        return item;
      },
      return: async () => {
        this.#reportEnd(BodyEnd.Cancelled);
        await inner.return?.();
        return { done: true, value: undefined };
      },
    };
  }

  #reportEnd(end: BodyEnd): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#onEnd(end);
  }
}

/**
 * Cancels a body's transfer without reading it.
 *
 * @param body The body to cancel.
 */
export async function cancelBody(body: Body): Promise<void> {
  await body[Symbol.asyncIterator]().return?.();
}

/** Bytes of a streamed body that are kept for a retry; also the size of the flow control window. */
export const REPLAY_LIMIT_BYTES = 65_536;

/**
 * A streamed body that can be read again from its start as long as no more
 * than {@linkcode REPLAY_LIMIT_BYTES} of it have been read.
 */
export class ReplayableBody implements Body {
  readonly #source: AsyncIterator<BodyChunk>;
  readonly #recorded: RecordedBody | undefined;
  readonly #chunks: BodyChunk[] = [];
  #keptBytes = 0;
  #hasEnded = false;
  #hasExceededLimit = false;
  #pendingPull: Promise<void> | undefined;
  #readers = 0;

  /**
   * @param source The body to replay; it is read only once.
   * @param recorded The body from which the source gets its bytes, if their start is recorded.
   */
  constructor(source: Body, recorded?: RecordedBody) {
    this.#source = source[Symbol.asyncIterator]();
    this.#recorded = recorded;
  }

  /** @returns The start of the body, as far as it is recorded and was read. */
  get prefix(): BodyPrefix | undefined {
    return this.#recorded?.prefix;
  }

  /** @returns Whether the body can no longer be read from its start. */
  get hasExceededReplayLimit(): boolean {
    return this.#hasExceededLimit;
  }

  async *[Symbol.asyncIterator](): AsyncIterator<BodyChunk> {
    this.#readers += 1;
    const reader = this.#readers;
    if (this.#hasExceededLimit) {
      yield err({ detail: 'the start of the body is no longer kept' });
      return;
    }
    for (let index = 0; ; index += 1) {
      const chunk = await this.#readChunk(index);
      if (!chunk || !this.#isLatest(reader)) return;
      yield chunk;
      if (this.hasExceededReplayLimit) index = this.#dropThrough(index);
    }
  }

  /** Cancels the source. */
  async cancel(): Promise<void> {
    this.#hasEnded = true;
    await this.#source.return?.();
  }

  async #readChunk(index: number): Promise<BodyChunk | undefined> {
    while (index >= this.#chunks.length && !this.#hasEnded) await this.#pull();
    return this.#chunks[index];
  }

  #pull(): Promise<void> {
    this.#pendingPull ??= this.#pullOne().finally(() => {
      this.#pendingPull = undefined;
    });
    return this.#pendingPull;
  }

  async #pullOne(): Promise<void> {
    const item = await this.#source.next();
    if (item.done) {
      this.#hasEnded = true;
      return;
    }
    this.#chunks.push(item.value);
    if (item.value.isErr()) this.#hasEnded = true;
    else this.#keptBytes += item.value.value.length;
    if (this.#keptBytes > REPLAY_LIMIT_BYTES) this.#hasExceededLimit = true;
  }

  #isLatest(reader: number): boolean {
    return reader === this.#readers;
  }

  #dropThrough(index: number): number {
    this.#chunks.splice(0, index + 1);
    return -1;
  }
}

/** Options of {@linkcode limitBody}. */
export interface LimitBodyOptions {
  /** Called once if the body exceeds the limit. */
  onExceeded?: () => void;
}

/**
 * Truncates a body that exceeds a size limit.
 *
 * @param body A body of unknown size.
 * @param limitBytes Largest size to accept, in bytes.
 * @param options See {@linkcode LimitBodyOptions}.
 * @returns The same body, truncated with an error if it exceeds the limit.
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
