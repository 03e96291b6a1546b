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

/** Chooses one of several targets. */
export interface Picker {
  readonly kind: PickerKind;
  /**
   * @param candidates Targets that may execute the call.
   * @returns The chosen one; `undefined` only if there are none.
   */
  pick(candidates: readonly Candidate[]): Candidate | undefined;
}
