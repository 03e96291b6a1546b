import {
  Deadline,
  EMPTY_BODY,
  FailureKind,
  Repeatability,
  BufferedBody,
  runsAtMostOnce,
  type Answer,
  type Attempt,
  type AttemptFailure,
  type Body,
  type Call,
  type Route,
} from '../contract/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import { FrameKind, type AnswerFrame, type CallFrame, type FailureFrame } from './frame.ts';
import { flattenHeaders, pairHeaders } from './headers.ts';

/**
 * Converts an attempt to the frame that starts it.
 *
 * @param attempt The attempt to send.
 * @param stream Stream number of its exchange.
 * @returns The call frame.
 */
export function toCallFrame(attempt: Attempt, stream: number): CallFrame {
  const { call } = attempt;
  return {
    kind: FrameKind.Call,
    stream,
    sequence: attempt.sequence,
    leg: attempt.receiverRole,
    callId: call.id,
    workspace: call.route.workspace,
    route: call.route.name,
    pool: call.pool,
    runsAtMostOnce: runsAtMostOnce(call.route),
    callerPool: call.callerPool,
    method: call.method,
    target: call.pathAndQuery,
    headers: flattenHeaders(call.headers),
    leftMs: Math.round(call.deadline.leftMs),
    objectiveLeftMs: Math.round(call.objective.leftMs),
    insists: attempt.acceptsDelay,
    depth: call.depth,
    key: selectKey(call),
    fingerprint: null,
    version: call.version,
    body: call.body instanceof BufferedBody ? call.body.bytes : null,
  };
}

/** Options of {@linkcode fromCallFrame}. */
export interface FromCallFrameOptions {
  timer: TimerService;
  route: Route;
  /** Version of the configuration that the call is resolved under. */
  version: number;
  /** Time since the attempt's frame was received, in milliseconds. */
  waitedMs: number;
  /** The body, if it is received in data frames. */
  incoming: Body | undefined;
  /** Aborted when the sender cancels the attempt. */
  signal: AbortSignal;
  /** Aborts the signal. */
  cancel: () => void;
}

/**
 * Converts a call frame to the attempt that it starts.
 *
 * @param frame The call frame.
 * @param sender Incarnation of the sending daemon.
 * @param options See {@linkcode FromCallFrameOptions}.
 * @returns The attempt.
 */
export function fromCallFrame(
  frame: CallFrame,
  sender: string,
  { timer, route, version, waitedMs, incoming, signal, cancel }: FromCallFrameOptions,
): Attempt {
  const inline = frame.body ? new BufferedBody(frame.body) : EMPTY_BODY;
  const call: Call = {
    id: frame.callId,
    route,
    pool: frame.pool,
    version,
    callerPool: frame.callerPool,
    method: frame.method,
    pathAndQuery: frame.target,
    headers: pairHeaders(frame.headers),
    body: incoming ?? inline,
    deadline: new Deadline(timer, frame.leftMs - waitedMs),
    objective: new Deadline(timer, frame.objectiveLeftMs - waitedMs),
    depth: frame.depth,
    key: frame.key ?? undefined,
    signal,
    cancel,
  };
  return {
    sender,
    sequence: frame.sequence,
    receiverRole: frame.leg,
    call,
    acceptsDelay: frame.insists,
  };
}

/** Options of {@linkcode toAnswerFrame} and {@linkcode toFailureFrame}. */
export interface ResultFrameOptions {
  stream: number;
  /** Version of the configuration in force at the executor. */
  version: number;
}

/**
 * Converts an answer to the frame that starts it.
 *
 * @param answer The answer to send.
 * @param options See {@linkcode ResultFrameOptions}.
 * @returns The answer frame.
 */
export function toAnswerFrame(
  answer: Answer,
  { stream, version }: ResultFrameOptions,
): AnswerFrame {
  return {
    kind: FrameKind.Answer,
    stream,
    status: answer.status,
    headers: flattenHeaders(answer.headers),
    load: answer.load ?? null,
    body: answer.body instanceof BufferedBody ? answer.body.bytes : null,
    version,
  };
}

/**
 * Converts an answer frame to the answer that it starts.
 *
 * @param frame The answer frame.
 * @param incoming The body, if it is received in data frames.
 * @returns The answer.
 */
export function fromAnswerFrame(frame: AnswerFrame, incoming: Body | undefined): Answer {
  const inline = frame.body ? new BufferedBody(frame.body) : EMPTY_BODY;
  return {
    status: frame.status,
    headers: pairHeaders(frame.headers),
    body: incoming ?? inline,
    load: frame.load ?? undefined,
  };
}

/**
 * Converts the failure of an attempt to a frame.
 *
 * @param failure Why the attempt has no answer.
 * @param options See {@linkcode ResultFrameOptions}.
 * @returns The failure frame.
 */
export function toFailureFrame(
  failure: AttemptFailure,
  { stream, version }: ResultFrameOptions,
): FailureFrame {
  const { refusal } = failure;
  // The sender settles a lost attempt over another link, which cannot help if the executor lost it.
  const kind = failure.kind === FailureKind.Lost ? FailureKind.Unknown : failure.kind;
  return {
    kind: FrameKind.Failure,
    stream,
    failure: kind,
    reason: refusal.reason,
    outcome: refusal.outcome,
    detail: refusal.detail,
    nextKey: refusal.nextKey ?? null,
    load: failure.load ?? null,
    version,
  };
}

/**
 * Converts a failure frame to the failure of an attempt.
 *
 * @param frame The failure frame.
 * @returns Why the attempt has no answer.
 */
export function fromFailureFrame(frame: FailureFrame): AttemptFailure {
  const { reason, outcome, detail, version } = frame;
  return {
    kind: frame.failure,
    refusal: { reason, outcome, detail, nextKey: frame.nextKey ?? undefined, version },
    load: frame.load ?? undefined,
  };
}

/** Ignores a key that the route no longer requires, or never did; callers may still send one. */
function selectKey({ key, route }: Call): string | null {
  return route.repeatability === Repeatability.NonIdempotent ? (key ?? null) : null;
}
