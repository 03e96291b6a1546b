import { Outcome } from '../contract/mod.ts';
import { Fault } from './fault.ts';
import { CallType, runCallCase, type CallCase, type CallViolations } from './call_case.ts';
import { CallStep } from './call_step.ts';

/** Totals of all cases of one fault, or pair of faults, at one step. */
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
  /** Whether pairs of simultaneous faults replace the single faults; false by default. */
  pairs?: boolean;
  types?: readonly CallType[];
}

/**
 * Lists the cases of the fault matrix.
 *
 * @param options See {@linkcode ListCallCasesOptions}.
 * @returns Every fault, or pair of faults, at every step, for each kind of call and seed.
 */
export function listCallCases({ seeds, pairs = false, types }: ListCallCasesOptions): CallCase[] {
  const faults = Object.values(Fault);
  const faultSets = pairs ? makePairs(faults) : faults.map((fault) => [fault]);
  return seeds.flatMap((seed) =>
    (types ?? Object.values(CallType)).flatMap((type) =>
      Object.values(CallStep).flatMap((step) =>
        faultSets.map((faultSet) => ({ type, step, faults: faultSet, seed })),
      ),
    ),
  );
}

/**
 * Formats the name by which a case can be run again.
 *
 * @param testCase A case.
 * @returns Its name.
 */
export function formatCallCaseName({ type, step, faults }: CallCase): string {
  return `${type}/${step}/${faults.join('+')}`;
}

/**
 * Runs cases one after the other.
 *
 * @param cases The cases.
 * @param onBroken Called with each case that has violations.
 * @returns Totals for each fault at each step.
 */
export async function runCallCases(
  cases: readonly CallCase[],
  onBroken: (testCase: CallCase, violations: CallViolations) => void,
): Promise<MatrixCell[]> {
  const cells = new Map<string, MatrixCell>();
  for (const testCase of cases) {
    const { outcomes, violations } = await runCallCase(testCase);
    const fault = testCase.faults.join('+');
    const name = `${fault}/${testCase.step}`;
    const cell = cells.get(name) ?? makeCell(fault, testCase.step);
    cells.set(name, cell);
    cell.cases += 1;
    countOutcome(cell, outcomes.at(-1));
    addViolations(cell.violations, violations);
    if (hasViolations(violations)) onBroken(testCase, violations);
  }
  return [...cells.values()];
}

/**
 * Reports whether any violation was counted.
 *
 * @param violations Violations of a case.
 * @returns Whether any count is above 0.
 */
export function hasViolations(violations: CallViolations): boolean {
  return Object.values(violations).some((count) => count > 0);
}

function makePairs(faults: readonly Fault[]): Fault[][] {
  return faults.flatMap((first, index) => faults.slice(index + 1).map((second) => [first, second]));
}

function makeCell(fault: string, step: CallStep): MatrixCell {
  const violations = { doubled: 0, dropped: 0, untrue: 0, leaked: 0, crossed: 0 };
  return { fault, step, cases: 0, answered: 0, notRun: 0, unknown: 0, violations };
}

function countOutcome(cell: MatrixCell, outcome: Outcome | undefined): void {
  if (outcome === Outcome.Answered) cell.answered += 1;
  else if (outcome === Outcome.NotRun) cell.notRun += 1;
  else cell.unknown += 1;
}

function addViolations(totals: CallViolations, violations: CallViolations): void {
  for (const name of Object.keys(totals) as (keyof CallViolations)[])
    totals[name] += violations[name];
}
