import type { Refusal } from '../contract/mod.ts';
import type { ReportedLoad, TargetRequest, TargetStatement } from '../guard/mod.ts';

/** Returns the value of a message's header by its lower-case name. */
export type HeaderReader = (name: string) => string | undefined;

/** Fields of a call that its caller sends in headers. */
export interface CallerHeaderFields {
  callId: string | undefined;
  workspace: string | undefined;
  /** Remaining time until the caller's deadline, in whole milliseconds. */
  deadline: string | undefined;
  depth: string | undefined;
  key: string | undefined;
}

/** Fields of an answer that its target sends in headers. */
export interface TargetHeaderFields {
  /** Identifier of the answered call, if the target sends it. */
  callId: string | undefined;
  /** Incarnation of the target, if it sends it. */
  targetId: string | undefined;
  /** Whether the target shed the call without running it. */
  shed: boolean;
  /** Whether the target has signed the answer, or the dialect requires no signature for it. */
  isAuthentic: boolean;
  load: ReportedLoad | undefined;
  /** Remaining time of the target's cold start, in milliseconds, if the target sends it. */
  coldMs: number | undefined;
  statement: TargetStatement;
}

/** Translates between HTTP headers and the fields of calls and answers. */
export interface HttpDialect {
  /** Lower-case names of headers that a caller may not set for the target. */
  readonly reservedHeaders: ReadonlySet<string>;
  /**
   * Reads the headers of a caller's request.
   *
   * @param header Returns the value of a header of the request.
   * @returns The fields of the call.
   */
  readCallerHeaders(header: HeaderReader): CallerHeaderFields;
  /**
   * Makes the headers that are sent to the target in addition to the caller's.
   *
   * @param req The call to execute.
   * @returns Names and values.
   */
  toTargetHeaders(req: TargetRequest): readonly (readonly [string, string])[];
  /**
   * Reads the headers of a target's answer.
   *
   * @param status Status of the answer.
   * @param header Returns the value of a header of the answer.
   * @returns The fields of the answer.
   */
  readTargetHeaders(status: number, header: HeaderReader): TargetHeaderFields;
  /**
   * Checks that an answer is attributed to the call for which it was read. A target may repeat an
   * earlier answer where that of a later call is due.
   *
   * @param req The call.
   * @param fields Fields of the answer.
   * @returns Whether the answer is the call's.
   */
  isAnswerTo(req: TargetRequest, fields: TargetHeaderFields): boolean;
  /**
   * Checks that an answer is the report of a health probe, and none to a call.
   *
   * @param fields Fields of the answer.
   * @returns Whether it is a report.
   */
  isProbeReport(fields: TargetHeaderFields): boolean;
  /**
   * Makes the headers that are sent to the caller in addition to the target's.
   *
   * @param callId Identifier of the call.
   * @param nextKey A fresh key for the caller's next call, if any.
   * @returns Values by name.
   */
  toAnswerHeaders(callId: string, nextKey: string | undefined): Record<string, string>;
  /**
   * Makes the headers of a refusal.
   *
   * @param callId Identifier of the call.
   * @param refusal Why the call has no answer.
   * @returns Values by name.
   */
  toRefusalHeaders(callId: string, refusal: Refusal): Record<string, string>;
  /**
   * Formats a delay as the value of `Retry-After`.
   *
   * @param delayMs Shortest useful wait, in milliseconds.
   * @returns The value of the header.
   */
  formatRetryAfter(delayMs: number): string;
}
