/** Whether a target's capacity is known to be there. */
export enum TargetStage {
  Cold = 'cold',
  Warm = 'warm',
  Leaving = 'leaving',
  Down = 'down',
}

/** Load of one target, as its guard saw it at one moment. */
export interface LoadState {
  /** Calls that the target runs. */
  inFlight: number;
  /** Calls that the target may run at once. */
  limit: number;
  /** Calls that wait. */
  queued: number;
  /** Recent mean time that the target took for a call, in milliseconds. */
  serviceMs: number;
  stage: TargetStage;
}
