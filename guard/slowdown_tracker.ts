import type { TimerService } from '../timer/mod.ts';
import type { ReportedLoad } from './target_port.ts';

/** Weight of the newest run in the usual time of a route. */
const SAMPLE_WEIGHT = 0.1;

/** How fast a target works at this moment, and how long the calls of each route usually take. */
export class SlowdownTracker {
  readonly #timer: TimerService;
  readonly #usualMs = new Map<string, number>();
  #slowdown = 1;
  #reportedAtMs = -Infinity;

  /** @param timer The source of time. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns How long work takes now, relative to the usual. */
  get slowdown(): number {
    return this.#slowdown;
  }

  /** @returns Age of the last report, in milliseconds. */
  get reportAgeMs(): number {
    return this.#timer.now() - this.#reportedAtMs;
  }

  /** @param load What the target has reported, if it did. */
  recordReport(load: ReportedLoad | undefined): void {
    if (!load) return;
    this.#slowdown = load.slowdown;
    this.#reportedAtMs = this.#timer.now();
  }

  /**
   * Learns from a run that began at the usual speed.
   *
   * @param route Name of the call's route.
   * @param elapsedMs Time that it took, in milliseconds.
   */
  recordExecution(route: string, elapsedMs: number): void {
    const before = this.#usualMs.get(route) ?? elapsedMs;
    this.#usualMs.set(route, before + SAMPLE_WEIGHT * (elapsedMs - before));
  }

  /**
   * @param route Name of a route.
   * @param leftMs Time in which a call of it should end, in milliseconds.
   * @returns Whether the call would end in time at the usual speed, but not at the present one.
   */
  isTooSlowFor(route: string, leftMs: number): boolean {
    const usualMs = this.#usualMs.get(route);
    if (usualMs === undefined || this.#slowdown <= 1) return false;
    return usualMs <= leftMs && usualMs * this.#slowdown > leftMs;
  }
}
