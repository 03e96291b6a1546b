import type { Candidate } from './candidate.ts';

/** The ways to choose among targets. */
export enum PickerKind {
  Random = 'random',
  RoundRobin = 'round-robin',
  LeastOutstanding = 'least-outstanding',
  TwoChoices = 'two-choices',
  /** Expected wait plus round trip, of a few random candidates. */
  ExpectedCost = 'expected-cost',
}

/** A chosen target. */
export interface Choice {
  candidate: Candidate;
  /** The targets that were compared, the chosen one among them. */
  compared: readonly Candidate[];
}

/** Chooses one of several targets. */
export interface Picker {
  readonly kind: PickerKind;
  /**
   * @param candidates Targets that may execute the call.
   * @returns The choice; `undefined` only if there are none.
   */
  pick(candidates: readonly Candidate[]): Choice | undefined;
}
