import type { Candidate } from './candidate.ts';

/** Algorithms that choose among targets. */
export enum PickerKind {
  Random = 'random',
  RoundRobin = 'round-robin',
  LeastOutstanding = 'least-outstanding',
  TwoChoices = 'two-choices',
  /** Lowest expected wait plus round trip among a few random candidates. */
  ExpectedCost = 'expected-cost',
}

/** A target that a picker has chosen. */
export interface PickedTarget {
  candidate: Candidate;
  /** The targets that were compared, including the chosen one. */
  compared: readonly Candidate[];
}

/** Chooses one of several targets. */
export interface Picker {
  readonly kind: PickerKind;
  /**
   * Picks a target.
   *
   * @param candidates Targets that may execute the call.
   * @returns The picked target; `undefined` only if there are none.
   */
  pick(candidates: readonly Candidate[]): PickedTarget | undefined;
}
