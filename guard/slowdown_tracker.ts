import type { TimerService } from '../timer/mod.ts';
import type { ReportedLoad } from './target_port.ts';

/** Weight of the newest execution in the usual execution time of a route. */
const SAMPLE_WEIGHT = 0.1;

/** Tracks the slowdown that a target reports and the usual execution time of each route. */
export class SlowdownTracker {
  readonly #timer: TimerService;
  readonly #usualMs = new Map<string, number>();
  #slowdown = 1;
  #reportedAtMs = -Infinity;

  /** @param timer The clock. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns Execution time relative to the usual, as last reported; 1 before the first report. */
  get slowdown(): number {
    return this.#slowdown;
  }

  /** @returns Age of the last report, in milliseconds; infinite before the first. */
  get reportAgeMs(): number {
    return this.#timer.now() - this.#reportedAtMs;
  }

  /**
   * Records a load report.
   *
   * @param load Load that the target reported, if any.
   */
  recordReport(load: ReportedLoad | undefined): void {
    if (!load) return;
    this.#slowdown = load.slowdown;
    this.#reportedAtMs = this.#timer.now();
  }

  /**
   * Records an execution that started without a slowdown.
   *
   * @param route Name of the call's route.
   * @param elapsedMs Duration of the execution, in milliseconds.
   */
  recordExecution(route: string, elapsedMs: number): void {
    const before = this.#usualMs.get(route) ?? elapsedMs;
    this.#usualMs.set(route, before + SAMPLE_WEIGHT * (elapsedMs - before));
  }

  /**
   * @param route Name of the call's route.
   * @param leftMs Time within which the call should complete, in milliseconds.
   * @returns Whether the call would usually complete in time, but not with the current slowdown.
   */
  isTooSlowFor(route: string, leftMs: number): boolean {
    const usualMs = this.#usualMs.get(route);
    if (usualMs === undefined || this.#slowdown <= 1) return false;
    return usualMs <= leftMs && usualMs * this.#slowdown > leftMs;
  }
}
