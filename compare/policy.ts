import { PickerKind } from '../placement/mod.ts';
import { LimitKind } from '../guard/mod.ts';

/** One way to decide: a picker, a limit and a retry setting. */
export interface Policy {
  name: string;
  picker: PickerKind;
  limit: LimitKind;
  retryPercent: number;
  /** Whether a slow call is sent to a second target. */
  hedge: boolean;
}

/** Retries per hundred calls of the policies that retry. */
const RETRY_PERCENT = 10;

/** The default of the daemons. */
export const DEFAULT_POLICY: Policy = {
  name: 'ours',
  picker: PickerKind.ExpectedCost,
  limit: LimitKind.Fixed,
  retryPercent: RETRY_PERCENT,
  hedge: true,
};

/** Ways to compare with. */
export const BASELINES: readonly Policy[] = [
  baseline(PickerKind.Random, LimitKind.Fixed),
  baseline(PickerKind.RoundRobin, LimitKind.Fixed),
  baseline(PickerKind.LeastOutstanding, LimitKind.Fixed),
  baseline(PickerKind.TwoChoices, LimitKind.Fixed),
  baseline(PickerKind.TwoChoices, LimitKind.Aimd),
  baseline(PickerKind.ExpectedCost, LimitKind.Gradient),
  { ...DEFAULT_POLICY, name: 'ours without retries', retryPercent: 0 },
  { ...DEFAULT_POLICY, name: 'ours without hedging', hedge: false },
];

function baseline(picker: PickerKind, limit: LimitKind): Policy {
  return { name: `${picker} + ${limit}`, picker, limit, retryPercent: RETRY_PERCENT, hedge: false };
}
