import { Proximity } from '../failure_domain/mod.ts';
import type { RandomSource } from '../random/mod.ts';
import type { Candidate } from './candidate.ts';
import { chooseCheapest } from './choose_cheapest.ts';
import { PickerKind, type PickedTarget, type Picker } from './picker.ts';
import { sample } from './sample.ts';

/** Number of candidates drawn from this daemon's region and from other regions. */
const SAMPLE_SIZE = 3;
/** Round-trip times assumed before a measurement, in milliseconds. */
const DEFAULT_ROUND_TRIP_MS: Readonly<Record<Proximity, number>> = {
  [Proximity.SameDomain]: 0.5,
  [Proximity.SameRegion]: 3,
  [Proximity.OtherRegion]: 60,
};
/** Cost added for a target that is avoided after failures, in milliseconds. */
const OUTLIER_COST_MS = 1_000;
/** Probability that other entries have used up the rate of a target that has named one. */
const RATE_REFUSAL_PROBABILITY = 0.5;
/** Cost of a call at a fully utilized target, as a share of the execution time. */
const UTILIZATION_COST_SHARE = 0.5;

/**
 * Draws a few candidates in this daemon's region and picks the one with the
 * lowest expected cost. Includes other regions only if that cost exceeds the
 * round trip to another region.
 */
export class ExpectedCostPicker implements Picker {
  readonly kind = PickerKind.ExpectedCost;
  readonly #random: RandomSource;

  /** @param random The source of random numbers. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(candidates: readonly Candidate[]): PickedTarget | undefined {
    const sameRegion = candidates.filter(({ proximity }) => proximity !== Proximity.OtherRegion);
    const otherRegions = candidates.filter(({ proximity }) => proximity === Proximity.OtherRegion);
    const drawn = sample(sameRegion, SAMPLE_SIZE, this.#random);
    const choice = chooseCheapest(drawn, estimateCostMs);
    const isCheapEnough =
      choice !== undefined &&
      estimateCostMs(choice.candidate) <= DEFAULT_ROUND_TRIP_MS[Proximity.OtherRegion];
    if (isCheapEnough) return choice;
    return chooseCheapest(
      [...drawn, ...sample(otherRegions, SAMPLE_SIZE, this.#random)],
      estimateCostMs,
    );
  }
}

/**
 * Estimates the time that a call to a target takes in addition to its execution.
 *
 * @param candidate The target.
 * @returns The expected additional time, in milliseconds.
 */
export function estimateCostMs({ proximity, view }: Candidate): number {
  const roundTripMs = Math.min(
    view.roundTripMs ?? DEFAULT_ROUND_TRIP_MS[proximity],
    DEFAULT_ROUND_TRIP_MS[proximity] * 4,
  );
  const utilization = Math.min(1, view.expectedCalls / Math.max(1, view.limit ?? 1));
  const utilizationCostMs = utilization * view.serviceMs * UTILIZATION_COST_SHARE;
  const stallCostMs = Math.max(0, view.oldestAttemptAgeMs - 4 * view.serviceMs);
  const outlierCostMs = view.isOutlier ? OUTLIER_COST_MS : 0;
  const refusalCostMs = view.isRateLimited ? RATE_REFUSAL_PROBABILITY * roundTripMs : 0;
  const delayCostMs = view.expectedWaitMs + utilizationCostMs + stallCostMs;
  return roundTripMs + delayCostMs + outlierCostMs + refusalCostMs;
}
