import { TargetStage } from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import { ProcessSign, isOfTarget, type TargetIdentity } from './target_identity.ts';
import type { ProbeReport } from './target_port.ts';
import type { WarmUp } from './warm_up.ts';

/** Consecutive probes without an answer after which a target counts as down. */
const UNANSWERED_PROBES_LIMIT = 2;

/** Options of {@linkcode TargetHealth}. */
export interface TargetHealthOptions {
  /** Receives an event for each cold start, and for each process that may be another target's. */
  log: EventLog;
  /** Restarted at each cold start. */
  warmUp: WarmUp;
  identity: TargetIdentity;
  /** Called once the process that sent the earlier answers is known to have ended. */
  onNewProcess: () => void;
}

/**
 * Detects from connections, answers and probes that the target is down or has
 * restarted: a refused or lost connection, unanswered probes or a new target ID.
 */
export class TargetHealth {
  readonly #options: TargetHealthOptions;
  #isNotListening = false;
  #unansweredProbes = 0;

  /** @param options See {@linkcode TargetHealthOptions}. */
  constructor(options: TargetHealthOptions) {
    this.#options = options;
  }

  /** @returns Whether the target was not listening when last contacted, or may have another process. */
  get isDown(): boolean {
    return this.#isNotListening || !this.#options.identity.isIdentified;
  }

  /** @returns Why the target gets no calls, for a refusal, if it is down. */
  get problem(): string | undefined {
    if (this.#isNotListening) return 'the target is not listening';
    if (this.#options.identity.isIdentified) return undefined;
    return "the process at the target's address is not known to be the target's";
  }

  /**
   * @param warmLimit Concurrency limit of a warm target.
   * @returns The target's stage.
   */
  getStage(warmLimit: number): TargetStage {
    if (this.isDown) return TargetStage.Down;
    return this.#options.warmUp.isCold(warmLimit) ? TargetStage.Cold : TargetStage.Warm;
  }

  /**
   * Records an answer. A changed target ID shows that the target has restarted, or that another
   * target has its address.
   *
   * @param targetId ID of the process that answered, if the answer contains it.
   * @param sentAtMs When the call or probe that it answers was sent, in milliseconds.
   * @returns What the answer shows of the process; an answer without ID shows nothing new.
   */
  recordAnswer(targetId: string | undefined, sentAtMs: number): ProcessSign {
    const { identity } = this.#options;
    const before = identity.unidentifiedId;
    const sign =
      targetId === undefined ? ProcessSign.Same : identity.recordAnswer(targetId, sentAtMs);
    switch (sign) {
      case ProcessSign.Same:
        this.#recordListening();
        break;
      case ProcessSign.Restarted:
        this.#recordListening();
        this.#recordNewProcess('run');
        break;
      case ProcessSign.Unidentified:
        if (targetId !== before) this.#recordUnidentified();
        break;
      case ProcessSign.Ended:
        break;
    }
    return sign;
  }

  /** Records that the target refused a connection. */
  recordConnectionRefused(): void {
    if (this.#isNotListening) return;
    this.#isNotListening = true;
    this.#recordNewProcess('refused');
  }

  /** Records that a connection was lost before an answer was complete. */
  recordConnectionLost(): void {
    this.#recordRestart('broken');
  }

  /**
   * Records the result of a probe.
   *
   * @param report The target's report; `undefined` if the probe got no answer.
   * @param sentAtMs When the probe was sent, in milliseconds.
   * @returns What the report shows of the process, if there is one.
   */
  recordProbe(report: ProbeReport | undefined, sentAtMs: number): ProcessSign | undefined {
    if (!report) {
      this.#unansweredProbes += 1;
      if (this.#unansweredProbes >= UNANSWERED_PROBES_LIMIT) this.recordConnectionRefused();
      return undefined;
    }
    const sign = this.recordAnswer(report.targetId, sentAtMs);
    if (isOfTarget(sign) && report.coldMs !== undefined)
      this.#options.warmUp.setColdRemaining(report.coldMs);
    return sign;
  }

  /** Applies an instance list, which may say that the process that answered last is the target's. */
  applyListing(): void {
    if (!this.#options.identity.applyListing()) return;
    this.#recordListening();
    this.#recordNewProcess('listed');
  }

  #recordListening(): void {
    this.#isNotListening = false;
    this.#unansweredProbes = 0;
  }

  #recordUnidentified(): void {
    const { log, identity, onNewProcess } = this.#options;
    log.write(Event.TargetUnidentified, {
      process: identity.unidentifiedId,
      target: identity.targetId,
      silenceMs: Math.round(identity.silenceMs),
    });
    onNewProcess();
  }

  #recordNewProcess(sign: string): void {
    this.#recordRestart(sign);
    this.#options.onNewProcess();
  }

  #recordRestart(sign: string): void {
    const { log, warmUp, identity } = this.#options;
    warmUp.restart();
    log.write(Event.TargetColdStart, { sign, target: identity.targetId });
  }
}
