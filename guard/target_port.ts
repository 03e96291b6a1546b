import type { Result } from 'neverthrow';
import type { Answer, Body, Headers } from '../contract/mod.ts';
import { NO_STATEMENT, type TargetStatement } from './target_statement.ts';

/** A call that is sent to the target. */
export interface TargetRequest {
  callId: string;
  /** Pool of the instance at which the call entered. */
  callerPool: string;
  /** ID of the target process that may run the call, if known; any other must not run it. */
  targetId: string | undefined;
  method: string;
  pathAndQuery: string;
  headers: Headers;
  body: Body;
  /** Time left until the deadline, in milliseconds. */
  leftMs: number;
  /** Aborted when the execution is cancelled. */
  signal: AbortSignal;
}

/** Load that a target reports about itself. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  /** Current execution time on its instance, relative to the usual. */
  slowdown: number;
}

/** An answer from the target. */
export interface TargetAnswer extends Answer {
  /** ID of the target's current process, if reported; a change means a restart. */
  targetId: string | undefined;
  /** Whether the target reports that it shed the call without running it. */
  shed: boolean;
  /** Load that the target reported with the answer. */
  reported: ReportedLoad | undefined;
  /** What the answer states about the calls that the target takes. */
  statement: TargetStatement;
}

/** Reasons why a call to the target got no answer. */
export enum TargetFailureKind {
  /** No part of the call reached the target. */
  NotSent = 'not-sent',
  /** The connection was lost before the answer. */
  ConnectionLost = 'broken',
  /** The target did not send a complete answer of its own to this call. */
  MalformedAnswer = 'garbled',
  /** The request body was truncated before it reached this daemon; the target is not at fault. */
  RequestTruncated = 'request-cut',
  /** The execution was cancelled. */
  Cancelled = 'cancelled',
}

/** Failure of a call to the target. */
export interface TargetFailure {
  kind: TargetFailureKind;
  detail: string;
}

/** Report of a target's health endpoint. */
export interface ProbeReport {
  isHealthy: boolean;
  /** ID of the target's current process, if reported. */
  targetId: string | undefined;
  /** Time for which the target stays cold, in milliseconds, if reported. */
  coldMs: number | undefined;
  load: ReportedLoad | undefined;
  /** What the report states about the calls that the target takes. */
  statement: TargetStatement;
}

/** Report of a healthy target without any details. */
export const HEALTHY_REPORT: ProbeReport = {
  isHealthy: true,
  targetId: undefined,
  coldMs: undefined,
  load: undefined,
  statement: NO_STATEMENT,
};

/** Client interface of the target beside this daemon. */
export interface TargetPort {
  /**
   * Sends a call to the target.
   *
   * @param req The call.
   * @returns The answer, whose body may still be in transit, or a failure.
   */
  run(req: TargetRequest): Promise<Result<TargetAnswer, TargetFailure>>;
  /**
   * Requests a report from the target's health endpoint, which costs the target processing time.
   *
   * @param path Path of the endpoint, if the configuration has one.
   * @returns The report; `undefined` if there was no answer.
   */
  probe(path?: string): Promise<ProbeReport | undefined>;
}
