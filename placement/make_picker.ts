import type { RandomSource } from '../random/mod.ts';
import {
  LeastOutstandingPicker,
  RandomPicker,
  RoundRobinPicker,
  TwoChoicesPicker,
} from './baseline_pickers.ts';
import { ExpectedCostPicker } from './expected_cost_picker.ts';
import { PickerKind, type Picker } from './picker.ts';

/**
 * Makes a picker.
 *
 * @param kind The algorithm.
 * @param random The source of random numbers.
 * @returns The picker.
 */
export function makePicker(kind: PickerKind, random: RandomSource): Picker {
  switch (kind) {
    case PickerKind.Random:
      return new RandomPicker(random);
    case PickerKind.RoundRobin:
      return new RoundRobinPicker();
    case PickerKind.LeastOutstanding:
      return new LeastOutstandingPicker(random);
    case PickerKind.TwoChoices:
      return new TwoChoicesPicker(random);
    case PickerKind.ExpectedCost:
      return new ExpectedCostPicker(random);
  }
}
