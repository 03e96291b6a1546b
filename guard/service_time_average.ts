/** Weight of the newest execution in the average. */
const SAMPLE_WEIGHT = 0.1;
const INITIAL_SERVICE_MS = 5;

/** Moving average of the execution time at a target. */
export class ServiceTimeAverage {
  #meanMs = INITIAL_SERVICE_MS;

  /** @returns Mean execution time, in milliseconds. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /**
   * Adds an execution to the average.
   *
   * @param elapsedMs Duration of the execution, in milliseconds.
   */
  record(elapsedMs: number): void {
    this.#meanMs += SAMPLE_WEIGHT * (elapsedMs - this.#meanMs);
  }
}
