import type { Headers } from '../contract/mod.ts';

/** Headers that concern one connection only and are never passed on. */
const HOP_HEADERS = new Set([
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

/** Headers of this system's own, between callers, daemons and targets. */
export enum HeaderName {
  Workspace = 'rhubarbkeel-workspace',
  /** Milliseconds that the caller still waits. */
  Deadline = 'rhubarbkeel-deadline-ms',
  /** Calls above this one in the chain that led to it. */
  Depth = 'rhubarbkeel-depth',
  CallId = 'rhubarbkeel-call',
  Outcome = 'rhubarbkeel-outcome',
  /** Name of a target's process, in its answers. */
  TargetIncarnation = 'rhubarbkeel-target-incarnation',
  /** Set by a target that refused a call without running it. */
  TargetShed = 'rhubarbkeel-target-shed',
  IdempotencyKey = 'idempotency-key',
}

/**
 * @param headers Names and values.
 * @returns Those that may be passed on to the next connection.
 */
export function removeHopByHopHeaders(headers: Headers): Headers {
  return headers.filter(([name]) => !HOP_HEADERS.has(name));
}

/**
 * @param headers Names and values.
 * @returns The same in one list, names and values in turn.
 */
export function flattenHeaders(headers: Headers): string[] {
  return headers.flat();
}

/**
 * @param list Names and values in turn.
 * @returns The same in pairs.
 */
export function pairHeaders(list: readonly string[]): Headers {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < list.length; index += 2) {
    pairs.push([list[index] ?? '', list[index + 1] ?? '']);
  }
  return pairs;
}
