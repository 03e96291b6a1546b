import type { TargetNotice } from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import { StatedRateKind, type StatedRate, type TargetStatement } from './target_statement.ts';

/** How a guard learned of a notice. */
export enum NoticeSource {
  /** Answer to a call. */
  Answer = 'answer',
  /** Answer to a call that a process at the target's address shed, perhaps not the target's. */
  Shed = 'shed',
  Probe = 'probe',
  /** A peer that had received the notice before this daemon started. */
  Peer = 'peer',
  /** The target's process has ended. */
  Restart = 'restart',
}

/** A statement in an answer of the target. */
export interface ReceivedStatement {
  statement: TargetStatement;
  /** When the call or probe that is answered was sent, in milliseconds. */
  sentAtMs: number;
  source: NoticeSource;
  /** Whether the answer is the report of a healthy target. */
  isHealthy?: boolean;
}

/** Options of {@linkcode NoticeTracker}. */
export interface NoticeTrackerOptions {
  timer: TimerService;
  /** Receives an event for each change. */
  log: EventLog;
  /** @returns ID of the target's process, if known. */
  getTargetId: () => string | undefined;
  /** Called after each change of the notice. */
  onChange: () => void;
}

/** Tracks what the target asks of its callers, from the statements in its messages. */
export class NoticeTracker {
  readonly #options: NoticeTrackerOptions;
  #maxCallsPerSecond: number | undefined;
  #noticedAtMs = -Infinity;
  #isLeaving = false;
  /** Whether the notice in force is only known from a peer. */
  #isFromPeer = false;
  #hasOwnStatement = false;
  #malformedText: string | undefined;

  /** @param options See {@linkcode NoticeTrackerOptions}. */
  constructor(options: NoticeTrackerOptions) {
    this.#options = options;
  }

  /** @returns The notice in force, if the target asks anything. */
  get notice(): TargetNotice | undefined {
    if (this.#maxCallsPerSecond === undefined && !this.#isLeaving) return undefined;
    const targetId = this.#options.getTargetId();
    const maxCallsPerSecond = this.#maxCallsPerSecond;
    return {
      ...(targetId !== undefined && { targetId }),
      ...(maxCallsPerSecond !== undefined && { maxCallsPerSecond }),
      isLeaving: this.#isLeaving,
    };
  }

  /**
   * Records a statement of the target.
   *
   * @param received The statement and when it was asked for.
   */
  record({ statement, sentAtMs, source, isHealthy }: ReceivedStatement): void {
    const before = this.notice;
    // An answer to an earlier call may have been overtaken by the one that gave the notice.
    const isCurrent = source !== NoticeSource.Shed && sentAtMs > this.#noticedAtMs;
    const isReadable = statement.rate.kind !== StatedRateKind.Malformed;
    if (isCurrent && isReadable && this.#isFromPeer) this.#clear();
    this.#recordRate(statement.rate, isCurrent);
    // A process that leaves says so until it ends; a new one may have its ID.
    if (isCurrent && isHealthy === true) this.#isLeaving = false;
    if (statement.isLeaving) this.#recordLeaving();
    this.#hasOwnStatement ||= source !== NoticeSource.Shed;
    this.#reportChange(before, source);
  }

  /**
   * Records a notice that a peer has received. It applies until the target itself has answered.
   *
   * @param notice The notice.
   */
  recordPeerNotice(notice: TargetNotice): void {
    const targetId = this.#options.getTargetId();
    const isOther = targetId !== undefined && notice.targetId !== targetId;
    if (this.#hasOwnStatement || isOther) return;
    const before = this.notice;
    this.#isFromPeer = true;
    this.#noticedAtMs = this.#options.timer.now();
    this.#maxCallsPerSecond = notice.maxCallsPerSecond;
    this.#isLeaving = notice.isLeaving;
    this.#reportChange(before, NoticeSource.Peer);
  }

  /** Records that the target's process has ended; what it has asked no longer applies. */
  recordRestart(): void {
    const before = this.notice;
    this.#clear();
    this.#reportChange(before, NoticeSource.Restart);
  }

  #clear(): void {
    this.#maxCallsPerSecond = undefined;
    this.#isLeaving = false;
    this.#isFromPeer = false;
  }

  #recordLeaving(): void {
    this.#isLeaving = true;
    this.#noticedAtMs = this.#options.timer.now();
  }

  #recordRate(rate: StatedRate, isCurrent: boolean): void {
    switch (rate.kind) {
      case StatedRateKind.Named:
        this.#maxCallsPerSecond = rate.perSecond;
        this.#noticedAtMs = this.#options.timer.now();
        break;
      case StatedRateKind.None:
        if (isCurrent) this.#maxCallsPerSecond = undefined;
        break;
      case StatedRateKind.Malformed:
        this.#logMalformed(rate.text);
        break;
    }
  }

  #logMalformed(text: string): void {
    if (text === this.#malformedText) return;
    this.#malformedText = text;
    this.#options.log.write(Event.TargetNotice, {
      target: this.#options.getTargetId(),
      problem: `expected calls per second, got "${text}"`,
    });
  }

  #reportChange(before: TargetNotice | undefined, source: NoticeSource): void {
    const after = this.notice;
    const isUnchanged =
      before?.maxCallsPerSecond === after?.maxCallsPerSecond &&
      before?.isLeaving === after?.isLeaving;
    if (isUnchanged) return;
    this.#options.log.write(Event.TargetNotice, {
      target: this.#options.getTargetId(),
      maxCallsPerSecond: after?.maxCallsPerSecond,
      leaving: after?.isLeaving ?? false,
      source,
    });
    this.#options.onChange();
  }
}
