/** Where on a call's path a fault is caused. */
export enum CallStep {
  /** The call stands at its entry; nothing was sent. */
  Accepted = 'accepted',
  /** The call is on its way to the executor. */
  CallSent = 'call-sent',
  /** The target runs the call. */
  Running = 'running',
  /** The answer is on its way to the entry. */
  AnswerSent = 'answer-sent',
  /** The caller has the answer; it sends the call again. */
  Answered = 'answered',
}
