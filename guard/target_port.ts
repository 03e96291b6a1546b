import type { Result } from 'neverthrow';
import type { Answer, Body, Headers } from '../contract/mod.ts';

/** A call as the target gets it. */
export interface TargetRequest {
  method: string;
  /** Path and query. */
  target: string;
  headers: Headers;
  body: Body;
  /** Milliseconds that the caller still waits. */
  leftMs: number;
  /** Aborted when the execution is no longer wanted. */
  signal: AbortSignal;
}

/** An answer of the target. */
export interface TargetAnswer extends Answer {
  /** Name of the target's process, if it says so; a change means a restart. */
  incarnation: string | undefined;
  /** Whether the target says that it refused the call without running it. */
  shed: boolean;
}

/** How a call to the target ended without an answer. */
export enum TargetFailureKind {
  /** Nothing of the call reached the target. */
  NotSent = 'not-sent',
  /** The connection broke before the answer. */
  Broken = 'broken',
  /** The request's body was cut off on its way here; the target itself is well. */
  RequestCut = 'request-cut',
  /** The execution was cancelled. */
  Cancelled = 'cancelled',
}

/** A call to the target without an answer. */
export interface TargetFailure {
  kind: TargetFailureKind;
  detail: string;
}

/** The way to the target beside this daemon. */
export interface TargetPort {
  /**
   * Has the target run a call.
   *
   * @param req The call.
   * @returns The answer, whose body may still be in transit, or why there is none.
   */
  run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>>;
  /** @returns Whether the target's health endpoint answers; costs the target time. */
  probe(): Promise<boolean>;
}
