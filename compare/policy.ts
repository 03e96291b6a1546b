import { PickerKind } from '../placement/mod.ts';
import { LimitKind } from '../target/mod.ts';

/** One way to decide: a picker, a limit and a retry setting. */
export interface Policy {
  name: string;
  picker: PickerKind;
  limit: LimitKind;
  retryPercent: number;
}

/** Retries per hundred calls of the policies that retry. */
const RETRY_PERCENT = 10;

/** The default of the daemons. */
export const OURS: Policy = {
  name: 'ours',
  picker: PickerKind.ExpectedCost,
  limit: LimitKind.Gradient,
  retryPercent: RETRY_PERCENT,
};

/** Ways to compare with. */
export const BASELINES: readonly Policy[] = [
  baseline(PickerKind.Random, LimitKind.Fixed),
  baseline(PickerKind.RoundRobin, LimitKind.Fixed),
  baseline(PickerKind.LeastOutstanding, LimitKind.Fixed),
  baseline(PickerKind.TwoChoices, LimitKind.Fixed),
  baseline(PickerKind.TwoChoices, LimitKind.Aimd),
  baseline(PickerKind.ExpectedCost, LimitKind.Fixed),
  { ...OURS, name: 'ours without retries', retryPercent: 0 },
];

function baseline(picker: PickerKind, limit: LimitKind): Policy {
  return { name: `${picker} + ${limit}`, picker, limit, retryPercent: RETRY_PERCENT };
}
