import type { RandomSource } from '../random/mod.ts';
import type { Candidate } from './candidate.ts';
import { PickerKind, type PickedTarget, type Picker } from './picker.ts';
import { chooseCheapest } from './choose_cheapest.ts';
import { sample } from './sample.ts';

/** Picks a random target; all have the same probability. */
export class RandomPicker implements Picker {
  readonly kind = PickerKind.Random;
  readonly #random: RandomSource;

  /** @param random The source of random numbers. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(candidates: readonly Candidate[]): PickedTarget | undefined {
    return chooseCheapest(sample(candidates, 1, this.#random), () => 0);
  }
}

/** Picks the targets in turn. */
export class RoundRobinPicker implements Picker {
  readonly kind = PickerKind.RoundRobin;
  #next = 0;

  pick(candidates: readonly Candidate[]): PickedTarget | undefined {
    this.#next += 1;
    const candidate = candidates[this.#next % Math.max(1, candidates.length)];
    return candidate && { candidate, compared: [candidate] };
  }
}

/** Picks the target with the fewest outstanding attempts of this daemon. */
export class LeastOutstandingPicker implements Picker {
  readonly kind = PickerKind.LeastOutstanding;
  readonly #random: RandomSource;

  /** @param random The source of random numbers, which breaks ties. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(candidates: readonly Candidate[]): PickedTarget | undefined {
    const shuffled = sample(candidates, candidates.length, this.#random);
    return chooseCheapest(shuffled, ({ view }) => view.outstanding);
  }
}

/** Picks the one of two random targets with fewer outstanding attempts of this daemon. */
export class TwoChoicesPicker implements Picker {
  readonly kind = PickerKind.TwoChoices;
  readonly #random: RandomSource;

  /** @param random The source of random numbers. */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(candidates: readonly Candidate[]): PickedTarget | undefined {
    return chooseCheapest(sample(candidates, 2, this.#random), ({ view }) => view.outstanding);
  }
}
