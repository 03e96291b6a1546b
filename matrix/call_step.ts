/** Step of a call at which a fault is caused. */
export enum CallStep {
  /** The entry has accepted the call and has sent nothing. */
  Accepted = 'accepted',
  /** The call is in flight to the executor. */
  CallSent = 'call-sent',
  /** The target runs the call. */
  Running = 'running',
  /** The answer is in flight to the entry. */
  AnswerSent = 'answer-sent',
  /** The caller has the answer and sends the call again. */
  Answered = 'answered',
}
