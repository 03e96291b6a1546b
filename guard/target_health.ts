import { TargetStage } from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { ProbeReport } from './target_port.ts';
import type { WarmUp } from './warm_up.ts';

/** Probes in a row without an answer after which a target counts as down. */
const SILENT_PROBES_LIMIT = 2;

/**
 * Follows the target's starts from what its connections, answers and probes
 * show: a broken or refused connection, or another run's name.
 */
export class TargetHealth {
  readonly #log: EventLog;
  readonly #warmUp: WarmUp;
  #isDown = false;
  #silentProbes = 0;
  #targetId: string | undefined;

  /**
   * @param log Receives an event for each cold start.
   * @param warmUp Restarted on each cold start.
   */
  constructor(log: EventLog, warmUp: WarmUp) {
    this.#log = log;
    this.#warmUp = warmUp;
  }

  /** @returns Whether the target was last seen without a listening process. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** @returns Name of the target's present run, if it has said so. */
  get targetId(): string | undefined {
    return this.#targetId;
  }

  /**
   * @param warmLimit Limit of a warm target.
   * @returns The target's stage.
   */
  stageAt(warmLimit: number): TargetStage {
    if (this.#isDown) return TargetStage.Down;
    return this.#warmUp.isCold(warmLimit) ? TargetStage.Cold : TargetStage.Warm;
  }

  /** @param targetId Name of the target's run in an answer, if it gave one. */
  recordAnswer(targetId: string | undefined): void {
    this.#isDown = false;
    this.#silentProbes = 0;
    if (targetId === undefined || targetId === this.#targetId) return;
    const isRestart = this.#targetId !== undefined;
    this.#targetId = targetId;
    if (isRestart) this.#restart('run');
  }

  /** Notes that the target refused a connection. */
  recordConnectionRefused(): void {
    if (this.#isDown) return;
    this.#isDown = true;
    this.#restart('refused');
  }

  /** Notes that a connection broke before its answer. */
  recordConnectionLost(): void {
    this.#restart('broken');
  }

  /** @param report What a probe has shown; nothing if it got no answer. */
  recordProbe(report: ProbeReport | undefined): void {
    if (!report) {
      this.#silentProbes += 1;
      if (this.#silentProbes >= SILENT_PROBES_LIMIT) this.recordConnectionRefused();
      return;
    }
    this.recordAnswer(report.targetId);
    if (report.coldMs !== undefined) this.#warmUp.setColdRemaining(report.coldMs);
  }

  #restart(sign: string): void {
    this.#warmUp.restart();
    this.#log.write(Event.TargetColdStart, { sign, target: this.#targetId });
  }
}
