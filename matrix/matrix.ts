import { Outcome } from '../contract/mod.ts';
import { Fault } from './fault.ts';
import { CallType, runCallCase, type CallCase, type CallViolations } from './call_case.ts';
import { CallStep } from './call_step.ts';

/** Sum over all cases of one fault at one step. */
export interface MatrixCell {
  fault: string;
  step: CallStep;
  cases: number;
  answered: number;
  notRun: number;
  unknown: number;
  violations: CallViolations;
}

/** Options of {@linkcode listCallCases}. */
export interface ListCallCasesOptions {
  seeds: readonly number[];
  /** Whether each pair of faults at once is played too. */
  pairs?: boolean;
  types?: readonly CallType[];
}

/**
 * @param options See {@linkcode ListCallCasesOptions}.
 * @returns Every fault at every step, for each kind of call and seed.
 */
export function listCallCases({ seeds, pairs = false, types }: ListCallCasesOptions): CallCase[] {
  const faults = Object.values(Fault);
  const sets = pairs ? pairsOf(faults) : faults.map((fault) => [fault]);
  return seeds.flatMap((seed) =>
    (types ?? Object.values(CallType)).flatMap((type) =>
      Object.values(CallStep).flatMap((step) =>
        sets.map((each) => ({ type, step, faults: each, seed })),
      ),
    ),
  );
}

/**
 * @param each A case.
 * @returns Its name, by which it can be played again.
 */
export function formatCallCaseName({ type, step, faults }: CallCase): string {
  return `${type}/${step}/${faults.join('+')}`;
}

/**
 * Plays cases one after the other.
 *
 * @param cases The cases.
 * @param onBroken Called with each case that broke a promise.
 * @returns Sums for each fault at each step.
 */
export async function runCallCases(
  cases: readonly CallCase[],
  onBroken: (each: CallCase, violations: CallViolations) => void,
): Promise<MatrixCell[]> {
  const cells = new Map<string, MatrixCell>();
  for (const each of cases) {
    const { outcomes, violations } = await runCallCase(each);
    const fault = each.faults.join('+');
    const name = `${fault}/${each.step}`;
    const cell = cells.get(name) ?? emptyCell(fault, each.step);
    cells.set(name, cell);
    cell.cases += 1;
    countEnd(cell, outcomes.at(-1));
    addViolations(cell.violations, violations);
    if (hasViolations(violations)) onBroken(each, violations);
  }
  return [...cells.values()];
}

/**
 * @param violations What a case broke.
 * @returns Whether it broke anything.
 */
export function hasViolations(violations: CallViolations): boolean {
  return Object.values(violations).some((count) => count > 0);
}

function pairsOf(faults: readonly Fault[]): Fault[][] {
  return faults.flatMap((first, index) => faults.slice(index + 1).map((second) => [first, second]));
}

function emptyCell(fault: string, step: CallStep): MatrixCell {
  const violations = { doubled: 0, dropped: 0, untrue: 0, leaked: 0, crossed: 0 };
  return { fault, step, cases: 0, answered: 0, notRun: 0, unknown: 0, violations };
}

function countEnd(cell: MatrixCell, outcome: Outcome | undefined): void {
  if (outcome === Outcome.Answered) cell.answered += 1;
  else if (outcome === Outcome.NotRun) cell.notRun += 1;
  else cell.unknown += 1;
}

function addViolations(sum: CallViolations, each: CallViolations): void {
  for (const name of Object.keys(sum) as (keyof CallViolations)[]) sum[name] += each[name];
}
