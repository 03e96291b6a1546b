import type { Headers } from '../contract/mod.ts';

/** Headers that apply to a single connection and are never forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Headers that rhubarbkeel uses between callers, daemons and targets. */
export enum HeaderName {
  Workspace = 'rhubarbkeel-workspace',
  /** Remaining time until the caller's deadline, in milliseconds. */
  Deadline = 'rhubarbkeel-deadline-ms',
  /** Number of calls above this one in its call chain. */
  Depth = 'rhubarbkeel-depth',
  CallId = 'rhubarbkeel-call',
  Outcome = 'rhubarbkeel-outcome',
  /** Incarnation of the target, set in its answers. */
  TargetIncarnation = 'rhubarbkeel-target-incarnation',
  /** Set by a target that shed a call without running it. */
  TargetShed = 'rhubarbkeel-target-shed',
  IdempotencyKey = 'idempotency-key',
}

/**
 * Removes the headers that apply to a single connection.
 *
 * @param headers Names and values.
 * @returns The headers that may be forwarded.
 */
export function removeHopByHopHeaders(headers: Headers): Headers {
  return headers.filter(([name]) => !HOP_BY_HOP_HEADERS.has(name));
}

/**
 * Flattens pairs of names and values.
 *
 * @param headers Names and values.
 * @returns One list, names and values alternating.
 */
export function flattenHeaders(headers: Headers): string[] {
  return headers.flat();
}

/**
 * Converts a flat list to pairs of names and values.
 *
 * @param list Names and values, alternating.
 * @returns The pairs.
 */
export function pairHeaders(list: readonly string[]): Headers {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < list.length; index += 2) {
    pairs.push([list[index] ?? '', list[index + 1] ?? '']);
  }
  return pairs;
}
