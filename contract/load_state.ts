import type { TargetNotice } from './target_notice.ts';

/** Availability of a target. */
export enum TargetStage {
  Cold = 'cold',
  Warm = 'warm',
  Leaving = 'leaving',
  Down = 'down',
}

/** Load of one target at one moment, as observed by its guard. */
export interface LoadState {
  /** Number of calls that the target runs. */
  inFlight: number;
  /** Number of calls that the target may run concurrently. */
  limit: number;
  /** Number of queued calls. */
  queued: number;
  /** Moving average of the execution time, in milliseconds. */
  serviceMs: number;
  stage: TargetStage;
  /** What the target asks of its callers, if anything. */
  notice?: TargetNotice;
  /**
   * Time until the rate that the target has named permits another call to start, in milliseconds;
   * absent if it has named none.
   */
  startDelayMs?: number;
}
