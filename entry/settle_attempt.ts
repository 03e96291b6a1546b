import { err } from 'neverthrow';
import {
  Deadline,
  FailureKind,
  RefusalReason,
  unknown,
  type Attempt,
  type AttemptFailure,
  type AttemptResult,
} from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { Instance } from '../instance/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';
import type { PeerDirectory, PeerPort } from './peer_directory.ts';

/** Wait between two tries to reach the executor, in milliseconds. */
const RETRY_DELAY_MS = 50;
/** Longest time spent on a settlement; well below the executor's retention. */
const SETTLE_TIMEOUT_MS = 20_000;

/** What {@linkcode settleAttempt} needs. */
export interface SettleAttemptOptions {
  timer: TimerService;
  log: EventLog;
  peers: PeerDirectory;
  /** The executor's instance. */
  instance: Instance;
  /** The way by which the attempt was sent. */
  port: PeerPort;
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
  const leftMs = Math.min(SETTLE_TIMEOUT_MS, call.deadline.leftMs);
  const deadline = new Deadline(timer, leftMs);
  let result: AttemptResult = err(lost('the executor could not be reached'));
  while (!deadline.hasPassed) {
    const opened = await options.peers.open(instance);
    if (opened.isOk() && opened.value.incarnation !== port.incarnation) {
      result = err(lost('the executor has restarted'));
      break;
    }
    if (opened.isOk()) {
      result = await opened.value.settle({ sender, sequence }, deadline);
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

function isFinal(kind: FailureKind): boolean {
  return kind === FailureKind.Refused || kind === FailureKind.Unknown;
}

function lost(detail: string): AttemptFailure {
  const refusal = unknown(RefusalReason.AnswerLost, detail);
  return { kind: FailureKind.Lost, refusal, load: undefined };
}
