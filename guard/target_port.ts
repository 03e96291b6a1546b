import type { Result } from 'neverthrow';
import type { Answer, Body, Headers } from '../contract/mod.ts';

/** A call as the target gets it. */
export interface TargetRequest {
  callId: string;
  /** Pool of the instance at which the call began. */
  callerPool: string;
  /** Name of the target's run that is meant, if it is known; any other must not run the call. */
  targetId: string | undefined;
  method: string;
  /** Path and query. */
  pathAndQuery: string;
  headers: Headers;
  body: Body;
  /** Milliseconds that the caller still waits. */
  leftMs: number;
  /** Aborted when the execution is no longer wanted. */
  signal: AbortSignal;
}

/** Load of a target as it says itself. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  /** How long work takes on its instance now, relative to the usual. */
  slowdown: number;
}

/** An answer of the target. */
export interface TargetAnswer extends Answer {
  /** Name of the target's present run, if it says so; a change means a restart. */
  targetId: string | undefined;
  /** Whether the target says that it refused the call without running it. */
  shed: boolean;
  /** Load that the target reported with the answer. */
  reported: ReportedLoad | undefined;
}

/** How a call to the target ended without an answer. */
export enum TargetFailureKind {
  /** Nothing of the call reached the target. */
  NotSent = 'not-sent',
  /** The connection broke before the answer. */
  ConnectionLost = 'broken',
  /** The target sent something else than a whole answer of its own to this call. */
  MalformedAnswer = 'garbled',
  /** The request's body was cut off on its way here; the target itself is well. */
  RequestTruncated = 'request-cut',
  /** The execution was cancelled. */
  Cancelled = 'cancelled',
}

/** A call to the target without an answer. */
export interface TargetFailure {
  kind: TargetFailureKind;
  detail: string;
}

/** What a target's health endpoint says. */
export interface ProbeReport {
  isHealthy: boolean;
  /** Name of the target's present run, if it says so. */
  targetId: string | undefined;
  /** Time for which it stays cold, in milliseconds, if it says so. */
  coldMs: number | undefined;
  load: ReportedLoad | undefined;
}

/** The report of a target that says no more than that it is well. */
export const HEALTHY_REPORT: ProbeReport = {
  isHealthy: true,
  targetId: undefined,
  coldMs: undefined,
  load: undefined,
};

/** The way to the target beside this daemon. */
export interface TargetPort {
  /**
   * Has the target run a call.
   *
   * @param req The call.
   * @returns The answer, whose body may still be in transit, or why there is none.
   */
  run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>>;
  /**
   * Asks the target's health endpoint; costs the target time.
   *
   * @param path Path of the endpoint, if the configuration names it.
   * @returns What it says; nothing if it gave no answer.
   */
  probe(path?: string): Promise<ProbeReport | undefined>;
}
