/** Whether a message of a target names the rate of calls that it takes. */
export enum StatedRateKind {
  None = 'none',
  Named = 'named',
  Malformed = 'malformed',
}

/** Rate of calls that a target takes from all callers together, as one of its messages states it. */
export type StatedRate =
  | { kind: StatedRateKind.None }
  | { kind: StatedRateKind.Named; perSecond: number }
  | { kind: StatedRateKind.Malformed; text: string };

/** What one message of a target states about the calls that the target takes. */
export interface TargetStatement {
  rate: StatedRate;
  /** Whether the target says that it is leaving. */
  isLeaving: boolean;
}

/** Statement of a message that neither names a rate nor says that its target is leaving. */
export const NO_STATEMENT: TargetStatement = {
  rate: { kind: StatedRateKind.None },
  isLeaving: false,
};
