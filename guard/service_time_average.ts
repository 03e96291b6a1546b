/** Weight of the newest execution in the mean. */
const SAMPLE_WEIGHT = 0.1;
const INITIAL_SERVICE_MS = 5;

/** Moving mean of the time that a target takes for a call. */
export class ServiceTimeAverage {
  #meanMs = INITIAL_SERVICE_MS;

  /** @returns Mean time of an execution, in milliseconds. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** @param elapsedMs Time of an execution that has ended, in milliseconds. */
  record(elapsedMs: number): void {
    this.#meanMs += SAMPLE_WEIGHT * (elapsedMs - this.#meanMs);
  }
}
