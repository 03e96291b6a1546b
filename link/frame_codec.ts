import { Packr } from 'msgpackr';
import { err, ok, Result } from 'neverthrow';
import type { Frame, FrameKind } from './frame.ts';
import { FRAME_LAYOUTS, type FieldCheck } from './frame_layout.ts';

/** Why a message is not a valid list of frames. */
export interface FrameError {
  detail: string;
}

type AnyLayout = readonly (readonly [string, FieldCheck])[];

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });
const layouts = FRAME_LAYOUTS as Readonly<Record<FrameKind, AnyLayout | undefined>>;

/**
 * Encodes frames as one message.
 *
 * @param frames The frames, in order.
 * @returns The encoded message.
 */
export function encodeFrames(frames: readonly Frame[]): Buffer {
  return packr.pack(frames.map(toFields));
}

/**
 * Decodes a message from a peer.
 *
 * @param message The encoded message.
 * @returns Its frames, in order, or why it is malformed.
 */
export function decodeFrames(message: Uint8Array): Result<Frame[], FrameError> {
  return unpack(message).andThen((rows) => {
    if (!Array.isArray(rows))
      return err({ detail: `expected a list of frames, got ${typeof rows}` });
    return Result.combine(rows.map((row) => toFrame(row)));
  });
}

function toFields(frame: Frame): unknown[] {
  const values = frame as unknown as Record<string, unknown>;
  const fields: unknown[] = [frame.kind];
  for (const [name] of layouts[frame.kind] ?? []) fields.push(values[name]);
  return fields;
}

function toFrame(row: unknown): Result<Frame, FrameError> {
  if (!Array.isArray(row)) return err({ detail: `expected a frame, got ${typeof row}` });
  const fields = row as unknown[];
  const layout = layouts[fields[0] as FrameKind];
  if (!layout) return err({ detail: `expected a known kind of frame, got ${String(fields[0])}` });
  if (fields.length !== layout.length + 1) {
    const detail = `expected ${layout.length} fields in frame ${String(fields[0])}, got ${fields.length - 1}`;
    return err({ detail });
  }
  const frame: Record<string, unknown> = { kind: fields[0] };
  for (const [index, [name, check]] of layout.entries()) {
    const value = fields[index + 1];
    if (!check(value)) return err({ detail: `unexpected ${name} in frame ${String(fields[0])}` });
    frame[name] = value;
  }
  return ok(frame as unknown as Frame);
}

function unpack(message: Uint8Array): Result<unknown, FrameError> {
  try {
    return ok(packr.unpack(message) as unknown);
  } catch {
    return err({ detail: `expected MessagePack, got ${message.length} other bytes` });
  }
}
