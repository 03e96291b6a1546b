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
  /** The target's process has ended. */
  Restart = 'restart',
}

/** A statement, and when the message that it answers was sent. */
export interface ReceivedStatement {
  statement: TargetStatement;
  /** When the call or probe was sent, in milliseconds. */
  sentAtMs: number;
  source: NoticeSource;
}

/** Options of {@linkcode NoticeTracker}. */
export interface NoticeTrackerOptions {
  timer: TimerService;
  /** Receives an event for each change. */
  log: EventLog;
  /** @returns ID of the target's process, if known. */
  getTargetId: () => string | undefined;
}

/** Tracks what the target asks of its callers, from the statements in its messages. */
export class NoticeTracker {
  readonly #options: NoticeTrackerOptions;
  #maxCallsPerSecond: number | undefined;
  #namedAtMs = -Infinity;
  #isLeaving = false;
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
  record({ statement, sentAtMs, source }: ReceivedStatement): void {
    const before = this.notice;
    const endsRate = source !== NoticeSource.Shed && sentAtMs > this.#namedAtMs;
    this.#recordRate(statement.rate, endsRate);
    this.#isLeaving ||= statement.isLeaving;
    this.#logChange(before, source);
  }

  /** Records that the target's process has ended; what it has asked no longer applies. */
  recordRestart(): void {
    const before = this.notice;
    this.#maxCallsPerSecond = undefined;
    this.#isLeaving = false;
    this.#logChange(before, NoticeSource.Restart);
  }

  #recordRate(rate: StatedRate, endsRate: boolean): void {
    switch (rate.kind) {
      case StatedRateKind.Named:
        this.#maxCallsPerSecond = rate.perSecond;
        this.#namedAtMs = this.#options.timer.now();
        break;
      case StatedRateKind.None:
        // An answer to an earlier call may have been overtaken by the one that named the rate.
        if (endsRate) this.#maxCallsPerSecond = undefined;
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

  #logChange(before: TargetNotice | undefined, source: NoticeSource): void {
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
  }
}
