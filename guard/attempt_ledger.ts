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

/** Time for which the result of an attempt is kept so that it can be settled, in milliseconds. */
const RETENTION_MS = 60_000;
/** Default limit of the memory for kept results, in bytes. */
const DEFAULT_KEPT_BYTES = 8_388_608;
/** Estimated size of a ledger entry without its answer, in bytes. */
const ENTRY_BYTES = 256;
/** Number of senders above which senders without ledger entries are dropped. */
const MAX_SENDERS = 16_384;

/** Progress of an attempt at its executor. */
export enum AttemptStage {
  /** Accepted but not started. */
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
  completedAtMs: number;
}

interface SenderRecord {
  entries: Map<number, LedgerEntry>;
  /** Highest sequence number of an attempt whose ledger entry was dropped. */
  droppedThrough: number;
}

/** Options of {@linkcode AttemptLedger}. */
export interface AttemptLedgerOptions {
  /** Limit of the memory for kept results, in bytes. */
  keptBytes?: number;
}

/**
 * Record of the non-idempotent attempts that this executor has received.
 * Decides exactly once for each attempt whether it runs, and keeps its result
 * for a while, so that a sender that lost the answer can settle the attempt.
 */
export class AttemptLedger {
  readonly #timer: TimerService;
  readonly #keptBytesLimit: number;
  readonly #senders = new Map<string, SenderRecord>();
  readonly #completed: LedgerEntry[] = [];
  #keptBytes = 0;

  /**
   * @param timer The clock.
   * @param options See {@linkcode AttemptLedgerOptions}.
   */
  constructor(timer: TimerService, options: AttemptLedgerOptions = {}) {
    this.#timer = timer;
    this.#keptBytesLimit = options.keptBytes ?? DEFAULT_KEPT_BYTES;
  }

  /**
   * Accepts an attempt unless it is fenced or a duplicate.
   *
   * @param id The attempt.
   * @returns Nothing, or a failure if the attempt is fenced or was received before.
   */
  accept(id: AttemptId): Result<void, AttemptFailure> {
    this.#dropExpired();
    const sender = this.#getSender(id.sender);
    const existing = sender.entries.get(id.sequence);
    if (existing?.stage === AttemptStage.Fenced) {
      return err(
        makeRefusedFailure(makeNotRunRefusal(RefusalReason.Fenced, 'the attempt was fenced')),
      );
    }
    if (existing || id.sequence <= sender.droppedThrough) {
      return err(makeUnknownFailure('the attempt was seen before'));
    }
    sender.entries.set(id.sequence, makeEntry(id, AttemptStage.Queued));
    return ok(undefined);
  }

  /**
   * Marks an attempt as running unless it has been fenced.
   *
   * @param id The attempt.
   * @returns Whether it may run.
   */
  start(id: AttemptId): boolean {
    const entry = this.#findEntry(id);
    if (entry?.stage !== AttemptStage.Queued) return false;
    entry.stage = AttemptStage.Running;
    return true;
  }

  /**
   * Records the result of an attempt.
   *
   * @param id The attempt.
   * @param result The result; the body of an answer must be buffered.
   */
  complete(id: AttemptId, result: AttemptResult): void {
    const entry = this.#findEntry(id);
    if (!entry || entry.stage === AttemptStage.Completed) return;
    if (entry.stage !== AttemptStage.Fenced) entry.stage = AttemptStage.Completed;
    entry.bytes = ENTRY_BYTES + bodySizeOf(result);
    this.#keep(entry);
    entry.resolve(result);
  }

  /**
   * Returns the result of an attempt. Fences the attempt if it has not started.
   *
   * @param id The attempt.
   * @param deadline Deadline of the wait for a running attempt.
   * @returns The result, or an unknown outcome if it is not available in time.
   */
  async settle(id: AttemptId, deadline: Deadline): Promise<AttemptResult> {
    this.#dropExpired();
    const sender = this.#getSender(id.sender);
    const entry = sender.entries.get(id.sequence);
    if (!entry && id.sequence <= sender.droppedThrough) {
      return err(makeUnknownFailure('the end of the attempt is no longer kept'));
    }
    if (!entry || entry.stage === AttemptStage.Queued || entry.stage === AttemptStage.Fenced) {
      this.#fence(sender, id);
      return err(
        makeRefusedFailure(makeNotRunRefusal(RefusalReason.Fenced, 'the attempt had not started')),
      );
    }
    const timeout = sleep(this.#timer, deadline.leftMs).then(() =>
      err<never, AttemptFailure>(makeUnknownFailure('the attempt still runs')),
    );
    return Promise.race([entry.result, timeout]);
  }

  #fence(sender: SenderRecord, id: AttemptId): void {
    const entry = sender.entries.get(id.sequence) ?? makeEntry(id, AttemptStage.Fenced);
    if (entry.completedAtMs >= 0) return;
    entry.stage = AttemptStage.Fenced;
    entry.bytes = ENTRY_BYTES;
    sender.entries.set(id.sequence, entry);
    this.#keep(entry);
  }

  #keep(entry: LedgerEntry): void {
    if (entry.completedAtMs >= 0) return;
    entry.completedAtMs = this.#timer.now();
    this.#completed.push(entry);
    this.#keptBytes += entry.bytes;
    this.#dropExpired();
  }

  #dropExpired(): void {
    const cutoffMs = this.#timer.now() - RETENTION_MS;
    for (let oldest = this.#completed[0]; oldest; oldest = this.#completed[0]) {
      const isExpired = oldest.completedAtMs < cutoffMs;
      if (!isExpired && this.#keptBytes <= this.#keptBytesLimit) return;
      this.#completed.shift();
      this.#drop(oldest);
    }
  }

  #drop(entry: LedgerEntry): void {
    this.#keptBytes -= entry.bytes;
    const sender = this.#getSender(entry.id.sender);
    sender.entries.delete(entry.id.sequence);
    sender.droppedThrough = Math.max(sender.droppedThrough, entry.id.sequence);
  }

  #findEntry(id: AttemptId): LedgerEntry | undefined {
    return this.#senders.get(id.sender)?.entries.get(id.sequence);
  }

  #getSender(incarnation: string): SenderRecord {
    let sender = this.#senders.get(incarnation);
    if (!sender) {
      sender = { entries: new Map(), droppedThrough: 0 };
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

function makeEntry(id: AttemptId, stage: AttemptStage): LedgerEntry {
  let resolve: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>((resolveResult) => {
    resolve = resolveResult;
  });
  return { id, stage, result, resolve, bytes: ENTRY_BYTES, completedAtMs: -1 };
}

function bodySizeOf(result: AttemptResult): number {
  if (result.isErr()) return 0;
  return result.value.body instanceof BufferedBody ? result.value.body.bytes.length : 0;
}

function makeRefusedFailure(refusal: Refusal): AttemptFailure {
  return { kind: FailureKind.Refused, refusal, load: undefined };
}

function makeUnknownFailure(detail: string): AttemptFailure {
  const refusal = makeUnknownRefusal(RefusalReason.AnswerLost, detail);
  return { kind: FailureKind.Unknown, refusal, load: undefined };
}
