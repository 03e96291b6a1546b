import type { Result } from 'neverthrow';
import type { Body } from './body.ts';
import type { Deadline } from './deadline.ts';
import type { LoadState } from './load_state.ts';
import { RefusalReason, type Refusal } from './refusal.ts';
import type { Route } from './route.ts';

/** Header names and values, in order. */
export type Headers = readonly (readonly [string, string])[];

/** A call as its caller sent it, once its route is known. */
export interface Call {
  /** Unique identifier of the call, for logs and traces. */
  id: string;
  route: Route;
  /** Pool that is to run it, one of the route's. */
  pool: string;
  /** Version of the configuration that route and pool are taken from. */
  version: number;
  /** Pool of the instance at which it began. */
  callerPool: string;
  method: string;
  /** Path and query. */
  pathAndQuery: string;
  headers: Headers;
  body: Body;
  deadline: Deadline;
  /** The moment until which an answer has its full value. */
  objective: Deadline;
  /** Calls above this one in the chain that led to it. */
  depth: number;
  /** Issued idempotency key, if the caller sent one. */
  key: string | undefined;
  /** Aborted when nobody waits for the answer any more. */
  signal: AbortSignal;
  /** Aborts the signal. */
  cancel: () => void;
}

/** Which role of the receiving daemon an attempt is for. */
export enum ReceiverRole {
  /** To the guard of the target that is to run the call. */
  Guard = 'guard',
  /** To the owner of the call's idempotency key. */
  Owner = 'owner',
}

/** One try to have a call executed by one target. */
export interface Attempt {
  /** Unique among all attempts of the sending incarnation; rises with each. */
  sequence: number;
  /** Incarnation of the daemon that makes the attempt. */
  sender: string;
  receiverRole: ReceiverRole;
  call: Call;
  /** Fingerprint of the call, if its route asks for one. */
  fingerprint: string | undefined;
  /** Whether to run the call even where it will not end in time, since no other target would either. */
  acceptsSlowTarget: boolean;
}

/** An answer from a target, on its way to the caller. */
export interface Answer {
  status: number;
  headers: Headers;
  body: Body;
  /** Load of the target's guard when the answer began. */
  load: LoadState | undefined;
}

/** How an attempt ended without an answer. */
export enum FailureKind {
  /** Nothing of the attempt reached the executor. */
  NotSent = 'not-sent',
  /** The target did not run the call and will not. */
  Refused = 'refused',
  /** The link broke first: the executor may know more. */
  Lost = 'lost',
  /** The executor itself cannot tell whether the call ran to its end. */
  Unknown = 'unknown',
}

/**
 * @param kind How an attempt ended.
 * @returns Whether its target did not run the call and will not.
 */
export function isNotRun(kind: FailureKind): boolean {
  return kind === FailureKind.NotSent || kind === FailureKind.Refused;
}

/**
 * @param failure An attempt without an answer.
 * @returns Whether it arrived at its target, run or not.
 */
export function hasReachedTarget({ kind, refusal }: AttemptFailure): boolean {
  return !isNotRun(kind) || refusal.reason === RefusalReason.TargetShed;
}

/** An attempt without an answer. */
export interface AttemptFailure {
  kind: FailureKind;
  refusal: Refusal;
  load: LoadState | undefined;
}

/** How an attempt ended. */
export type AttemptResult = Result<Answer, AttemptFailure>;

/** Identifies an attempt across links. */
export interface AttemptId {
  sender: string;
  sequence: number;
}

/** Something that executes attempts: a guard, or a link to one. */
export interface AttemptPort {
  /**
   * @param attempt The attempt to execute.
   * @returns How it ended; an answer's body may still be in transit.
   */
  send(attempt: Attempt): Promise<AttemptResult>;
  /**
   * Asks for the end of an attempt whose answer was lost. Afterwards the
   * attempt is answered, refused for good, or still unknown.
   *
   * @param id The attempt.
   * @param deadline Until when to wait for its end.
   * @returns How it ended.
   */
  settle(id: AttemptId, deadline: Deadline): Promise<AttemptResult>;
}
