import { err, ok, type Result } from 'neverthrow';
import {
  FailureKind,
  RefusalReason,
  BufferedBody,
  makeNotRunRefusal,
  makeUnknownRefusal,
  type AttemptFailure,
  type AttemptId,
  type AttemptResult,
  type Deadline,
  type Refusal,
} from '../contract/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

/** Time for which the end of an attempt is kept for a settlement, in milliseconds. */
const RETENTION_MS = 60_000;
/** Bytes of answers that are kept for settlements. */
const DEFAULT_KEPT_BYTES = 8_388_608;
/** Estimated bytes of an entry without its answer. */
const ENTRY_BYTES = 256;
/** Senders that are remembered. */
const MAX_SENDERS = 16_384;

/** How far an attempt has come at its executor. */
export enum AttemptStage {
  /** Accepted, not started. */
  Queued = 'queued',
  Running = 'running',
  Completed = 'ended',
  /** Will never run. */
  Fenced = 'fenced',
}

interface LedgerEntry {
  id: AttemptId;
  stage: AttemptStage;
  result: Promise<AttemptResult>;
  resolve: (result: AttemptResult) => void;
  bytes: number;
  endedAtMs: number;
}

interface SenderRecord {
  entries: Map<number, LedgerEntry>;
  /** Highest sequence number of an attempt that was forgotten. */
  forgottenThrough: number;
}

/** Options of {@linkcode AttemptLedger}. */
export interface AttemptLedgerOptions {
  /** Bytes of answers that are kept for settlements. */
  keptBytes?: number;
}

/**
 * The non-idempotent attempts that this executor was sent. Decides for each
 * exactly once whether it runs, and keeps its end for a while, so that a sender
 * whose answer was lost can learn what happened.
 */
export class AttemptLedger {
  readonly #timer: TimerService;
  readonly #keptBytesLimit: number;
  readonly #senders = new Map<string, SenderRecord>();
  readonly #ended: LedgerEntry[] = [];
  #keptBytes = 0;

  /**
   * @param timer The source of time.
   * @param options See {@linkcode AttemptLedgerOptions}.
   */
  constructor(timer: TimerService, options: AttemptLedgerOptions = {}) {
    this.#timer = timer;
    this.#keptBytesLimit = options.keptBytes ?? DEFAULT_KEPT_BYTES;
  }

  /**
   * Accepts an attempt.
   *
   * @param id The attempt.
   * @returns Nothing, or the failure to give if it was fenced or seen before.
   */
  accept(id: AttemptId): Result<void, AttemptFailure> {
    this.#expire();
    const sender = this.#senderOf(id.sender);
    const known = sender.entries.get(id.sequence);
    if (known?.stage === AttemptStage.Fenced) {
      return err(refused(makeNotRunRefusal(RefusalReason.Fenced, 'the attempt was fenced')));
    }
    if (known || id.sequence <= sender.forgottenThrough) {
      return err(notKnown('the attempt was seen before'));
    }
    sender.entries.set(id.sequence, newEntry(id, AttemptStage.Queued));
    return ok(undefined);
  }

  /**
   * Marks an attempt as running, unless it was fenced meanwhile.
   *
   * @param id The attempt.
   * @returns Whether it may run.
   */
  start(id: AttemptId): boolean {
    const entry = this.#find(id);
    if (entry?.stage !== AttemptStage.Queued) return false;
    entry.stage = AttemptStage.Running;
    return true;
  }

  /**
   * Records how an attempt ended.
   *
   * @param id The attempt.
   * @param result Its end; an answer must be in memory as a whole.
   */
  complete(id: AttemptId, result: AttemptResult): void {
    const entry = this.#find(id);
    if (!entry || entry.stage === AttemptStage.Completed) return;
    if (entry.stage !== AttemptStage.Fenced) entry.stage = AttemptStage.Completed;
    entry.bytes = ENTRY_BYTES + answerBytes(result);
    this.#retire(entry);
    entry.resolve(result);
  }

  /**
   * Tells how an attempt ended; one that has not started is fenced.
   *
   * @param id The attempt.
   * @param deadline Until when to wait for the end of one that runs.
   * @returns Its end, or a loss if that is not known in time.
   */
  async settle(id: AttemptId, deadline: Deadline): Promise<AttemptResult> {
    this.#expire();
    const sender = this.#senderOf(id.sender);
    const entry = sender.entries.get(id.sequence);
    if (!entry && id.sequence <= sender.forgottenThrough) {
      return err(notKnown('the end of the attempt is no longer kept'));
    }
    if (!entry || entry.stage === AttemptStage.Queued || entry.stage === AttemptStage.Fenced) {
      this.#fence(sender, id);
      return err(refused(makeNotRunRefusal(RefusalReason.Fenced, 'the attempt had not started')));
    }
    const late = sleep(this.#timer, deadline.leftMs).then(() =>
      err<never, AttemptFailure>(notKnown('the attempt still runs')),
    );
    return Promise.race([entry.result, late]);
  }

  #fence(sender: SenderRecord, id: AttemptId): void {
    const entry = sender.entries.get(id.sequence) ?? newEntry(id, AttemptStage.Fenced);
    if (entry.endedAtMs >= 0) return;
    entry.stage = AttemptStage.Fenced;
    entry.bytes = ENTRY_BYTES;
    sender.entries.set(id.sequence, entry);
    this.#retire(entry);
  }

  #retire(entry: LedgerEntry): void {
    if (entry.endedAtMs >= 0) return;
    entry.endedAtMs = this.#timer.now();
    this.#ended.push(entry);
    this.#keptBytes += entry.bytes;
    this.#expire();
  }

  #expire(): void {
    const horizonMs = this.#timer.now() - RETENTION_MS;
    for (let oldest = this.#ended[0]; oldest; oldest = this.#ended[0]) {
      const isOld = oldest.endedAtMs < horizonMs;
      if (!isOld && this.#keptBytes <= this.#keptBytesLimit) return;
      this.#ended.shift();
      this.#forget(oldest);
    }
  }

  #forget(entry: LedgerEntry): void {
    this.#keptBytes -= entry.bytes;
    const sender = this.#senderOf(entry.id.sender);
    sender.entries.delete(entry.id.sequence);
    sender.forgottenThrough = Math.max(sender.forgottenThrough, entry.id.sequence);
  }

  #find(id: AttemptId): LedgerEntry | undefined {
    return this.#senders.get(id.sender)?.entries.get(id.sequence);
  }

  #senderOf(incarnation: string): SenderRecord {
    let sender = this.#senders.get(incarnation);
    if (!sender) {
      sender = { entries: new Map(), forgottenThrough: 0 };
      this.#senders.set(incarnation, sender);
      this.#limitSenders();
    }
    return sender;
  }

  #limitSenders(): void {
    if (this.#senders.size <= MAX_SENDERS) return;
    for (const [incarnation, sender] of this.#senders) {
      if (sender.entries.size > 0) continue;
      this.#senders.delete(incarnation);
      return;
    }
  }
}

function newEntry(id: AttemptId, stage: AttemptStage): LedgerEntry {
  let resolve: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>((settle) => {
    resolve = settle;
  });
  return { id, stage, result, resolve, bytes: ENTRY_BYTES, endedAtMs: -1 };
}

function answerBytes(result: AttemptResult): number {
  if (result.isErr()) return 0;
  return result.value.body instanceof BufferedBody ? result.value.body.bytes.length : 0;
}

function refused(refusal: Refusal): AttemptFailure {
  return { kind: FailureKind.Refused, refusal, load: undefined };
}

function notKnown(detail: string): AttemptFailure {
  const refusal = makeUnknownRefusal(RefusalReason.AnswerLost, detail);
  return { kind: FailureKind.Unknown, refusal, load: undefined };
}
