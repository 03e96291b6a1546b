/** What a target asks of all its callers together, as its guard knows it. */
export interface TargetNotice {
  /** ID of the target's process, if known; the notice ends with the process. */
  targetId?: string;
  /** Calls per second that the target takes from all callers together; unlimited if absent. */
  maxCallsPerSecond?: number;
  /** Whether the target is leaving and takes no new calls. */
  isLeaving: boolean;
}
