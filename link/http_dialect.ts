import type { Refusal } from '../contract/mod.ts';
import type { ReportedLoad, TargetRequest } from '../guard/mod.ts';

/** Reads one header of a message by its lower-case name. */
export type HeaderReader = (name: string) => string | undefined;

/** What a caller's headers say about its call. */
export interface CallerHeaderFields {
  callId: string | undefined;
  workspace: string | undefined;
  /** Whole milliseconds that the caller still waits. */
  deadline: string | undefined;
  depth: string | undefined;
  key: string | undefined;
}

/** What a target's headers say about its answer. */
export interface TargetHeaderFields {
  /** Identifier of the call that it answers, if it says so. */
  callId: string | undefined;
  /** Name of the target's present run, if it says so. */
  targetId: string | undefined;
  /** Whether the target refused the call without running it. */
  shed: boolean;
  /** Whether the answer bears what the target puts on each of its own answers. */
  isSigned: boolean;
  load: ReportedLoad | undefined;
  /** Time for which the target stays cold, in milliseconds, if it says so. */
  coldMs: number | undefined;
}

/** The headers in which callers and targets speak. */
export interface HttpDialect {
  /** Lower-case names of headers that a caller may not set for the target. */
  readonly reservedHeaders: ReadonlySet<string>;
  /**
   * @param header Reads a header of a caller's request.
   * @returns What it says.
   */
  readCallerHeaders(header: HeaderReader): CallerHeaderFields;
  /**
   * @param req The call to execute.
   * @returns Headers that the target gets beside those of the caller.
   */
  toTargetHeaders(req: TargetRequest): readonly (readonly [string, string])[];
  /**
   * @param status Status of a target's answer.
   * @param header Reads one of its headers.
   * @returns What it says.
   */
  readTargetHeaders(status: number, header: HeaderReader): TargetHeaderFields;
  /**
   * @param callId Identifier of a call.
   * @param nextKey A fresh key for the caller's next call, if any.
   * @returns Headers that its answer gets beside those of the target.
   */
  toAnswerHeaders(callId: string, nextKey: string | undefined): Record<string, string>;
  /**
   * @param callId Identifier of a call.
   * @param refusal Why it gets no answer.
   * @returns Headers of the refusal.
   */
  toRefusalHeaders(callId: string, refusal: Refusal): Record<string, string>;
  /**
   * @param delayMs Shortest useful wait, in milliseconds.
   * @returns The value of `Retry-After`.
   */
  formatRetryAfter(delayMs: number): string;
}
