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
 * @param attempt The attempt to send.
 * @param stream Number of its exchange.
 * @returns The frame that begins it.
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
    insists: attempt.acceptsSlowTarget,
    depth: call.depth,
    key: keyOf(call),
    fingerprint: attempt.fingerprint ?? null,
    version: call.version,
    body: call.body instanceof BufferedBody ? call.body.bytes : null,
  };
}

/** Options of {@linkcode fromCallFrame}. */
export interface FromCallFrameOptions {
  timer: TimerService;
  route: Route;
  /** Version of the configuration that the call is decided by. */
  version: number;
  /** Milliseconds that the attempt has waited since its frame arrived. */
  waitedMs: number;
  /** The body, if it arrives in further frames. */
  incoming: Body | undefined;
  /** Aborted when the sender gives up. */
  signal: AbortSignal;
  /** Aborts the signal. */
  cancel: () => void;
}

/**
 * @param frame The frame that begins an attempt.
 * @param sender Incarnation of the sending daemon.
 * @param options See {@linkcode FromCallFrameOptions}.
 * @returns The attempt.
 */
export function fromCallFrame(
  frame: CallFrame,
  sender: string,
  { timer, route, version, waitedMs, incoming, signal, cancel: giveUp }: FromCallFrameOptions,
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
    cancel: giveUp,
  };
  return {
    sender,
    sequence: frame.sequence,
    receiverRole: frame.leg,
    call,
    fingerprint: frame.fingerprint ?? undefined,
    acceptsSlowTarget: frame.insists,
  };
}

/** What an end of an attempt is sent with. */
export interface ResultFrameOptions {
  stream: number;
  /** Version of the configuration in force at the executor. */
  version: number;
}

/**
 * @param answer The answer to send.
 * @param options See {@linkcode ResultFrameOptions}.
 * @returns The frame that begins it.
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
 * @param frame The frame that begins an answer.
 * @param incoming The body, if it arrives in further frames.
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
 * @param failure How an attempt ended without an answer.
 * @param options See {@linkcode ResultFrameOptions}.
 * @returns The frame that says so.
 */
export function toFailureFrame(
  failure: AttemptFailure,
  { stream, version }: ResultFrameOptions,
): FailureFrame {
  const { refusal } = failure;
  // A loss at the executor is final for the sender: there is no further link to ask over.
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
 * @param frame The frame that ends an attempt without an answer.
 * @returns How it ended.
 */
export function fromFailureFrame(frame: FailureFrame): AttemptFailure {
  const { reason, outcome, detail, version } = frame;
  return {
    kind: frame.failure,
    refusal: { reason, outcome, detail, nextKey: frame.nextKey ?? undefined, version },
    load: frame.load ?? undefined,
  };
}

/** Callers may send a key that their route asks for no longer, or never did. */
function keyOf({ key, route }: Call): string | null {
  return route.repeatability === Repeatability.NonIdempotent ? (key ?? null) : null;
}
