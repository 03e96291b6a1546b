import { Proximity } from '../failure_domain/mod.ts';
import type { RandomSource } from '../random/mod.ts';
import type { Candidate } from './candidate.ts';
import { chooseCheapest } from './choose_cheapest.ts';
import { PickerKind, type Choice, type Picker } from './picker.ts';
import { sample } from './sample.ts';

/** Candidates drawn from each ring of proximity. */
const SAMPLE_SIZE = 3;
/** Assumed round trips before any was measured, in milliseconds. */
const DEFAULT_ROUND_TRIP_MS: Readonly<Record<Proximity, number>> = {
  [Proximity.SameDomain]: 0.5,
  [Proximity.SameRegion]: 3,
  [Proximity.OtherRegion]: 60,
};
/** Added to the cost of a target that is avoided after failures, in milliseconds. */
const OUTLIER_COST_MS = 1_000;
/** Share of a call's time that one more call on a target without a queue is taken to cost. */
const CROWDING_SHARE = 0.5;

/**
 * Draws a few candidates near by and compares expected wait plus round trip;
 * looks in another region only if the wait near by exceeds the way there.
 */
export class ExpectedCostPicker implements Picker {
  readonly kind = PickerKind.ExpectedCost;
  readonly #random: RandomSource;

  /** @param random The source of random numbers. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(candidates: readonly Candidate[]): Choice | undefined {
    const near = candidates.filter(({ proximity }) => proximity !== Proximity.OtherRegion);
    const far = candidates.filter(({ proximity }) => proximity === Proximity.OtherRegion);
    const drawn = sample(near, SAMPLE_SIZE, this.#random);
    const choice = chooseCheapest(drawn, estimateCostMs);
    const isNearEnough =
      choice !== undefined &&
      estimateCostMs(choice.candidate) <= DEFAULT_ROUND_TRIP_MS[Proximity.OtherRegion];
    if (isNearEnough) return choice;
    return chooseCheapest([...drawn, ...sample(far, SAMPLE_SIZE, this.#random)], estimateCostMs);
  }
}

/**
 * @param candidate A target.
 * @returns Expected time that a call loses before and after its execution there, in milliseconds.
 */
export function estimateCostMs({ proximity, view }: Candidate): number {
  const roundTripMs = Math.min(
    view.roundTripMs ?? DEFAULT_ROUND_TRIP_MS[proximity],
    DEFAULT_ROUND_TRIP_MS[proximity] * 4,
  );
  const crowding = Math.min(1, view.expectedCalls / Math.max(1, view.limit ?? 1));
  const crowdingMs = crowding * view.serviceMs * CROWDING_SHARE;
  const stuckMs = Math.max(0, view.oldestAttemptAgeMs - 4 * view.serviceMs);
  const outlierMs = view.isOutlier ? OUTLIER_COST_MS : 0;
  return roundTripMs + view.expectedWaitMs + crowdingMs + stuckMs + outlierMs;
}
