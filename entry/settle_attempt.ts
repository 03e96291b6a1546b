import { err } from 'neverthrow';
import {
  Deadline,
  FailureKind,
  RefusalReason,
  makeUnknownRefusal,
  type Attempt,
  type AttemptFailure,
  type AttemptResult,
} from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { Instance } from '../instance/mod.ts';
import { sleep, withTimeout, type TimerService } from '../timer/mod.ts';
import type { PeerDirectory, PeerPort } from './peer_directory.ts';

/** Delay between two requests to the executor, in milliseconds. */
const RETRY_DELAY_MS = 50;
/** Default time limit of a settlement, in milliseconds; less than the executor's retention. */
const SETTLE_TIMEOUT_MS = 45_000;
/** Time limit of one request to the executor, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Options of {@linkcode settleAttempt}. */
export interface SettleAttemptOptions {
  timer: TimerService;
  log: EventLog;
  peers: PeerDirectory;
  /** The executor's instance. */
  instance: Instance;
  /** The connection on which the attempt was sent. */
  port: PeerPort;
  /** Time limit, in milliseconds. */
  timeoutMs?: number;
}

/**
 * Asks the executor for the result of an attempt whose answer was lost. Asks only
 * the incarnation that the attempt was sent to.
 *
 * @param attempt The attempt.
 * @param options See {@linkcode SettleAttemptOptions}.
 * @returns The result; lost if the executor has restarted or cannot be reached in time.
 */
export async function settleAttempt(
  attempt: Attempt,
  options: SettleAttemptOptions,
): Promise<AttemptResult> {
  const { timer, log, instance, port } = options;
  const { sender, sequence, call } = attempt;
  const deadline = new Deadline(timer, options.timeoutMs ?? SETTLE_TIMEOUT_MS);
  let result: AttemptResult = err(makeLostFailure('the executor could not be reached'));
  while (!deadline.hasPassed) {
    const opened = await options.peers.open(instance);
    if (opened.isOk() && opened.value.incarnation !== port.incarnation) {
      result = err(makeLostFailure('the executor has restarted'));
      break;
    }
    if (opened.isOk()) {
      const id = { sender, sequence };
      const requestMs = Math.min(REQUEST_TIMEOUT_MS, deadline.leftMs);
      const pending = opened.value.settle(id, new Deadline(timer, requestMs));
      result = await awaitResult(pending, timer, requestMs);
      if (result.isOk() || isFinal(result.error.kind)) break;
    }
    await sleep(timer, RETRY_DELAY_MS);
  }
  const outcome = result.isOk() ? 'answered' : result.error.kind;
  log.write(Event.AttemptSettled, {
    call: call.id,
    attempt: sequence,
    instance: instance.id,
    outcome,
  });
  return result;
}

/**
 * Waits for the result of an attempt, with a time limit.
 *
 * @param pending The result of an attempt that was sent or is being settled.
 * @param timer The clock.
 * @param timeoutMs Time limit, in milliseconds.
 * @returns The result; lost if it was not there in time.
 */
export async function awaitResult(
  pending: Promise<AttemptResult>,
  timer: TimerService,
  timeoutMs: number,
): Promise<AttemptResult> {
  return (
    (await withTimeout(timer, timeoutMs, pending)) ??
    err(makeLostFailure('the executor was silent'))
  );
}

function isFinal(kind: FailureKind): boolean {
  return kind === FailureKind.Refused || kind === FailureKind.Unknown;
}

function makeLostFailure(detail: string): AttemptFailure {
  const refusal = makeUnknownRefusal(RefusalReason.AnswerLost, detail);
  return { kind: FailureKind.Lost, refusal, load: undefined };
}
