/** What is known about the execution of a call. */
export enum Outcome {
  /** The target ran the call and its complete answer was delivered. */
  Answered = 'answered',
  /** No target ran the call, and none will. */
  NotRun = 'not-run',
  /** A target may have run the call. */
  Unknown = 'unknown',
}
