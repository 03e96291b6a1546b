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

/** Wait between two tries to reach the executor, in milliseconds. */
const RETRY_DELAY_MS = 50;
/** Longest time spent on a settlement; below the executor's retention. */
const SETTLE_TIMEOUT_MS = 45_000;
/** Longest wait for the executor's word in one try, in milliseconds. */
const TRY_TIMEOUT_MS = 2_000;

/** What {@linkcode settleAttempt} needs. */
export interface SettleAttemptOptions {
  timer: TimerService;
  log: EventLog;
  peers: PeerDirectory;
  /** The executor's instance. */
  instance: Instance;
  /** The way by which the attempt was sent. */
  port: PeerPort;
  /** Longest time to spend, in milliseconds. */
  timeoutMs?: number;
}

/**
 * Finds out how an attempt ended whose answer was lost. Asks the incarnation
 * that was sent the attempt, and no other.
 *
 * @param attempt The attempt.
 * @param options See {@linkcode SettleAttemptOptions}.
 * @returns Its end; lost if the executor is gone or cannot be reached in time.
 */
export async function settleAttempt(
  attempt: Attempt,
  options: SettleAttemptOptions,
): Promise<AttemptResult> {
  const { timer, log, instance, port } = options;
  const { sender, sequence, call } = attempt;
  const deadline = new Deadline(timer, options.timeoutMs ?? SETTLE_TIMEOUT_MS);
  let result: AttemptResult = err(lost('the executor could not be reached'));
  while (!deadline.hasPassed) {
    const opened = await options.peers.open(instance);
    if (opened.isOk() && opened.value.incarnation !== port.incarnation) {
      result = err(lost('the executor has restarted'));
      break;
    }
    if (opened.isOk()) {
      const id = { sender, sequence };
      const tryMs = Math.min(TRY_TIMEOUT_MS, deadline.leftMs);
      const asked = opened.value.settle(id, new Deadline(timer, tryMs));
      result = await awaitResult(asked, timer, tryMs);
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
 * @param pending An attempt or settlement under way.
 * @param timer The source of time.
 * @param timeoutMs Time to wait for its end, in milliseconds.
 * @returns Its end; lost if it did not come in time.
 */
export async function awaitResult(
  pending: Promise<AttemptResult>,
  timer: TimerService,
  timeoutMs: number,
): Promise<AttemptResult> {
  return (await withTimeout(timer, timeoutMs, pending)) ?? err(lost('the executor was silent'));
}

function isFinal(kind: FailureKind): boolean {
  return kind === FailureKind.Refused || kind === FailureKind.Unknown;
}

function lost(detail: string): AttemptFailure {
  const refusal = makeUnknownRefusal(RefusalReason.AnswerLost, detail);
  return { kind: FailureKind.Lost, refusal, load: undefined };
}
