import { TargetStage } from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { ProbeReport } from './target_port.ts';
import type { WarmUp } from './warm_up.ts';

/** Consecutive probes without an answer after which a target counts as down. */
const UNANSWERED_PROBES_LIMIT = 2;

/**
 * Detects from connections, answers and probes that the target is down or has
 * restarted: a refused or lost connection, unanswered probes or a new target ID.
 */
export class TargetHealth {
  readonly #log: EventLog;
  readonly #warmUp: WarmUp;
  readonly #onNewProcess: () => void;
  #isDown = false;
  #unansweredProbes = 0;
  #targetId: string | undefined;

  /**
   * @param log Receives an event for each cold start.
   * @param warmUp Restarted at each cold start.
   * @param onNewProcess Called once the process that sent the earlier answers is known to have ended.
   */
  constructor(log: EventLog, warmUp: WarmUp, onNewProcess: () => void) {
    this.#log = log;
    this.#warmUp = warmUp;
    this.#onNewProcess = onNewProcess;
  }

  /** @returns Whether the target was not listening when last contacted. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** @returns ID of the target's current process, if the target has reported it. */
  get targetId(): string | undefined {
    return this.#targetId;
  }

  /**
   * @param warmLimit Concurrency limit of a warm target.
   * @returns The target's stage.
   */
  getStage(warmLimit: number): TargetStage {
    if (this.#isDown) return TargetStage.Down;
    return this.#warmUp.isCold(warmLimit) ? TargetStage.Cold : TargetStage.Warm;
  }

  /**
   * Records an answer. A changed target ID shows that the target has restarted.
   *
   * @param targetId ID of the target's process, if the answer contains it.
   */
  recordAnswer(targetId: string | undefined): void {
    this.#isDown = false;
    this.#unansweredProbes = 0;
    if (targetId === undefined || targetId === this.#targetId) return;
    const isRestart = this.#targetId !== undefined;
    this.#targetId = targetId;
    if (!isRestart) return;
    this.#recordRestart('run');
    this.#onNewProcess();
  }

  /** Records that the target refused a connection. */
  recordConnectionRefused(): void {
    if (this.#isDown) return;
    this.#isDown = true;
    this.#recordRestart('refused');
    this.#onNewProcess();
  }

  /** Records that a connection was lost before an answer was complete. */
  recordConnectionLost(): void {
    this.#recordRestart('broken');
  }

  /**
   * Records the result of a probe.
   *
   * @param report The target's report; `undefined` if the probe got no answer.
   */
  recordProbe(report: ProbeReport | undefined): void {
    if (!report) {
      this.#unansweredProbes += 1;
      if (this.#unansweredProbes >= UNANSWERED_PROBES_LIMIT) this.recordConnectionRefused();
      return;
    }
    this.recordAnswer(report.targetId);
    if (report.coldMs !== undefined) this.#warmUp.setColdRemaining(report.coldMs);
  }

  #recordRestart(sign: string): void {
    this.#warmUp.restart();
    this.#log.write(Event.TargetColdStart, { sign, target: this.#targetId });
  }
}
