import { PickerKind } from '../placement/mod.ts';
import { LimitKind } from '../guard/mod.ts';

/** Decisions that a comparison varies: picker, limit, retries and hedging. */
export interface Policy {
  name: string;
  picker: PickerKind;
  limit: LimitKind;
  /** Retries per hundred calls. */
  retryPercent: number;
  /** Whether a slow call is also sent to a second target. */
  hedge: boolean;
}

/** Retries per hundred calls under the policies that retry. */
const RETRY_PERCENT = 10;

/** The default policy of the daemons. */
export const DEFAULT_POLICY: Policy = {
  name: 'ours',
  picker: PickerKind.ExpectedCost,
  limit: LimitKind.Fixed,
  retryPercent: RETRY_PERCENT,
  hedge: true,
};

/** Policies that the default is compared with. */
export const BASELINES: readonly Policy[] = [
  makeBaseline(PickerKind.Random, LimitKind.Fixed),
  makeBaseline(PickerKind.RoundRobin, LimitKind.Fixed),
  makeBaseline(PickerKind.LeastOutstanding, LimitKind.Fixed),
  makeBaseline(PickerKind.TwoChoices, LimitKind.Fixed),
  makeBaseline(PickerKind.TwoChoices, LimitKind.Aimd),
  makeBaseline(PickerKind.ExpectedCost, LimitKind.Gradient),
  { ...DEFAULT_POLICY, name: 'ours without retries', retryPercent: 0 },
  { ...DEFAULT_POLICY, name: 'ours without hedging', hedge: false },
];

function makeBaseline(picker: PickerKind, limit: LimitKind): Policy {
  return { name: `${picker} + ${limit}`, picker, limit, retryPercent: RETRY_PERCENT, hedge: false };
}
