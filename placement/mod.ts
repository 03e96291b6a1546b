/**
 * Chooses a target for each attempt from the load that this daemon has observed.
 *
 * ```ts
 * import { SeededRandom, TargetViews, VirtualTimer, makePicker, PickerKind } from 'rhubarbkeel';
 *
 * const views = new TargetViews(new VirtualTimer());
 * const picker = makePicker(PickerKind.TwoChoices, new SeededRandom(1));
 * console.assert(views.get('boards-1').outstanding === 0);
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
export * from './target_views.ts';
export * from './target_view.ts';
