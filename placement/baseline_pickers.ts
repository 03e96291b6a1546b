import type { RandomSource } from '../random/mod.ts';
import type { Candidate } from './candidate.ts';
import { PickerKind, type Choice, type Picker } from './picker.ts';
import { chooseCheapest } from './choose_cheapest.ts';
import { sample } from './sample.ts';

/** Chooses any target with equal probability. */
export class RandomPicker implements Picker {
  readonly kind = PickerKind.Random;
  readonly #random: RandomSource;

  /** @param random The source of random numbers. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(candidates: readonly Candidate[]): Choice | undefined {
    return chooseCheapest(sample(candidates, 1, this.#random), () => 0);
  }
}

/** Chooses the targets in turn. */
export class RoundRobinPicker implements Picker {
  readonly kind = PickerKind.RoundRobin;
  #next = 0;

  pick(candidates: readonly Candidate[]): Choice | undefined {
    this.#next += 1;
    const candidate = candidates[this.#next % Math.max(1, candidates.length)];
    return candidate && { candidate, compared: [candidate] };
  }
}

/** Chooses the target with the fewest own attempts outstanding. */
export class LeastOutstandingPicker implements Picker {
  readonly kind = PickerKind.LeastOutstanding;
  readonly #random: RandomSource;

  /** @param random The source of random numbers, for ties. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(candidates: readonly Candidate[]): Choice | undefined {
    const shuffled = sample(candidates, candidates.length, this.#random);
    return chooseCheapest(shuffled, ({ view }) => view.outstanding);
  }
}

/** Chooses the target with fewer own attempts outstanding of two random ones. */
export class TwoChoicesPicker implements Picker {
  readonly kind = PickerKind.TwoChoices;
  readonly #random: RandomSource;

  /** @param random The source of random numbers. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(candidates: readonly Candidate[]): Choice | undefined {
    return chooseCheapest(sample(candidates, 2, this.#random), ({ view }) => view.outstanding);
  }
}
