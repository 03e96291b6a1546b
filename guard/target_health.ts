import { TargetStage } from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { WarmUp } from './warm_up.ts';

/**
 * Follows the target's starts from what its connections and answers show:
 * a broken or refused connection, or another process name in an answer.
 */
export class TargetHealth {
  readonly #log: EventLog;
  readonly #warmUp: WarmUp;
  #isDown = false;
  #incarnation: string | undefined;

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

  /**
   * @param warmLimit Limit of a warm target.
   * @returns The target's stage.
   */
  stage(warmLimit: number): TargetStage {
    if (this.#isDown) return TargetStage.Down;
    return this.#warmUp.isCold(warmLimit) ? TargetStage.Cold : TargetStage.Warm;
  }

  /** @param incarnation Name of the target's process in an answer, if it gave one. */
  recordAnswer(incarnation: string | undefined): void {
    this.#isDown = false;
    if (incarnation === undefined || incarnation === this.#incarnation) return;
    const isRestart = this.#incarnation !== undefined;
    this.#incarnation = incarnation;
    if (isRestart) this.#restart('incarnation');
  }

  /** Notes that the target refused a connection. */
  recordNotSent(): void {
    if (this.#isDown) return;
    this.#isDown = true;
    this.#restart('refused');
  }

  /** Notes that a connection broke before its answer. */
  recordBroken(): void {
    this.#restart('broken');
  }

  /** Notes that a probe of a target that was down succeeded. */
  recordProbe(): void {
    this.#isDown = false;
  }

  #restart(sign: string): void {
    this.#warmUp.restart();
    this.#log.write(Event.TargetColdStart, { sign });
  }
}
