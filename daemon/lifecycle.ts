import { InstanceStage } from '../instance/mod.ts';

/**
 * Lifecycle of a daemon. Its stage only advances: from starting to live, and from either of them to
 * leaving. A pause of a live daemon makes it starting until it has caught up.
 */
export class Lifecycle {
  #stage: InstanceStage.Starting | InstanceStage.Live | InstanceStage.Leaving =
    InstanceStage.Starting;
  #isPaused = false;
  #isLameDuck = false;

  /** @returns The present stage. */
  get stage(): InstanceStage {
    if (this.#stage === InstanceStage.Live && this.#isPaused) return InstanceStage.Starting;
    return this.#stage;
  }

  /** @returns Whether the daemon accepts calls: while it is live, and in its lame-duck period. */
  get acceptsCalls(): boolean {
    return this.stage === InstanceStage.Live || this.#isLameDuck;
  }

  /**
   * Makes a starting daemon live.
   *
   * @returns Whether it is live now; a leaving daemon stays as it is.
   */
  startServing(): boolean {
    if (this.#stage === InstanceStage.Starting) this.#stage = InstanceStage.Live;
    return this.#stage === InstanceStage.Live;
  }

  /**
   * Makes the daemon leaving.
   *
   * @returns Whether a lame-duck period begins, as callers may be used to the daemon.
   */
  startLeaving(): boolean {
    this.#isLameDuck = this.#stage === InstanceStage.Live;
    this.#stage = InstanceStage.Leaving;
    return this.#isLameDuck;
  }

  /** Ends the lame-duck period. */
  endLameDuck(): void {
    this.#isLameDuck = false;
  }

  /** Interrupts a live daemon, whose knowledge may be outdated after a pause. */
  pause(): void {
    this.#isPaused = true;
  }

  /** Continues a paused daemon that has caught up. */
  resume(): void {
    this.#isPaused = false;
  }
}
