/**
 * Placement: chooses a target for each attempt from what this daemon has seen.
 *
 * ```ts
 * import { SeededRandom, TargetBoard, VirtualTimer, makePicker, PickerKind } from 'rhubarbkeel';
 *
 * const board = new TargetBoard(new VirtualTimer());
 * const picker = makePicker(PickerKind.TwoChoices, new SeededRandom(1));
 * console.assert(board.viewOf('boards-1').outstanding === 0);
 * console.assert(picker.pick([]) === undefined);
 * ```
 *
 * @module
 */
export * from './baseline_pickers.ts';
export * from './candidate.ts';
export * from './expected_cost_picker.ts';
export * from './make_picker.ts';
export * from './picker.ts';
export * from './placement.ts';
export * from './target_board.ts';
export * from './target_view.ts';
