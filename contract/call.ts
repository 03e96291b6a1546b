import type { Result } from 'neverthrow';
import type { Body } from './body.ts';
import type { Deadline } from './deadline.ts';
import type { LoadState } from './load_state.ts';
import { RefusalReason, type Refusal } from './refusal.ts';
import type { Route } from './route.ts';

/** Header names and values, in order. */
export type Headers = readonly (readonly [string, string])[];

/** A call from a caller, with its resolved route. */
export interface Call {
  /** Unique identifier of the call, for logs and traces. */
  id: string;
  route: Route;
  /** Pool of the route that runs the call. */
  pool: string;
  /** Version of the configuration under which the route and pool were resolved. */
  version: number;
  /** Pool of the instance at which the call entered. */
  callerPool: string;
  method: string;
  pathAndQuery: string;
  headers: Headers;
  body: Body;
  deadline: Deadline;
  /** Time until which an answer has its full value. */
  objective: Deadline;
  /** Number of calls in the chain that led to this one. */
  depth: number;
  /** Issued idempotency key that the caller sent, if any. */
  key: string | undefined;
  /** Aborted when the call is cancelled, for example because its caller disconnects. */
  signal: AbortSignal;
  /** Aborts the signal. */
  cancel: () => void;
}

/** Role of the receiving daemon that an attempt is addressed to. */
export enum ReceiverRole {
  /** Guard of the target that runs the call. */
  Guard = 'guard',
  /** Owner of the call's idempotency key. */
  Owner = 'owner',
}

/** One try to execute a call at one target. */
export interface Attempt {
  /** Number of the attempt, unique for the sender and increasing. */
  sequence: number;
  /** Incarnation of the daemon that sends the attempt. */
  sender: string;
  receiverRole: ReceiverRole;
  call: Call;
  /** Whether the call may run late, as other targets are too slow or at their rate as well. */
  acceptsDelay: boolean;
}

/** An answer from a target to the caller. */
export interface Answer {
  status: number;
  headers: Headers;
  body: Body;
  /** Load at the target's guard when the answer started. */
  load: LoadState | undefined;
}

/** Ways in which an attempt completes without an answer. */
export enum FailureKind {
  /** No part of the attempt reached the executor. */
  NotSent = 'not-sent',
  /** The target did not run the call and will not. */
  Refused = 'refused',
  /** The link closed before the result; the executor may know it. */
  Lost = 'lost',
  /** The executor itself does not know whether the execution completed. */
  Unknown = 'unknown',
}

/**
 * @param kind The kind of a failed attempt.
 * @returns Whether its target did not run the call and will not.
 */
export function isNotRun(kind: FailureKind): boolean {
  return kind === FailureKind.NotSent || kind === FailureKind.Refused;
}

/**
 * @param failure The failure of an attempt.
 * @returns Whether the attempt reached its target, whether or not the target ran the call.
 */
export function hasReachedTarget({ kind, refusal }: AttemptFailure): boolean {
  return !isNotRun(kind) || refusal.reason === RefusalReason.TargetShed;
}

/** Failure of an attempt that got no answer. */
export interface AttemptFailure {
  kind: FailureKind;
  refusal: Refusal;
  load: LoadState | undefined;
}

/** Result of an attempt. */
export type AttemptResult = Result<Answer, AttemptFailure>;

/** Identifies an attempt across links. */
export interface AttemptId {
  sender: string;
  sequence: number;
}

/** Executes attempts: a guard, or a link to one. */
export interface AttemptPort {
  /**
   * Executes an attempt.
   *
   * @param attempt The attempt.
   * @returns The result; an answer's body may still be in transit.
   */
  send(attempt: Attempt): Promise<AttemptResult>;
  /**
   * Settles an attempt whose answer was lost. Afterwards the attempt is
   * answered, finally refused or still unknown.
   *
   * @param id The attempt.
   * @param deadline Deadline of the wait for the result.
   * @returns The result.
   */
  settle(id: AttemptId, deadline: Deadline): Promise<AttemptResult>;
}
