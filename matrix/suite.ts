import { formatTable } from '../cli/output.ts';
import { DistributionFault, DistributionStep, runDistributionCase } from './distribution_case.ts';
import {
  formatDisagreementCaseName,
  listDisagreementCases,
  runDisagreementCases,
} from './disagreement.ts';
import type { DisagreementResult } from './disagreement_run.ts';
import {
  formatCallCaseName,
  hasViolations,
  listCallCases,
  runCallCases,
  type MatrixCell,
} from './matrix.ts';
import { runCallCase } from './call_case.ts';

/** Selection of the cases of a suite to run. */
export interface SuiteSelection {
  seeds: readonly number[];
  /** Name of the only case to run; all if undefined. */
  only: string | undefined;
}

/** A case with violations. */
export interface BrokenCase {
  name: string;
  seed: number;
  findings: string;
}

/** Results of the cases of a suite. */
export interface SuiteReport {
  cases: number;
  broken: BrokenCase[];
  /** Results to print; in full detail if a single case was selected. */
  text: string;
}

/** A set of cases that are run and checked in the same way. */
export interface Suite {
  readonly name: string;
  /**
   * Runs the selected cases one after the other.
   *
   * @param selection The cases to run.
   * @returns Their results.
   */
  run(selection: SuiteSelection): Promise<SuiteReport>;
}

/** Faults at every step of a call. */
export class CallSuite implements Suite {
  readonly name = 'calls';
  readonly #hasPairs: boolean;

  /** @param hasPairs Whether pairs of simultaneous faults are run instead of single faults. */
  constructor(hasPairs: boolean) {
    this.#hasPairs = hasPairs;
  }

  async run({ seeds, only }: SuiteSelection): Promise<SuiteReport> {
    // The name of a pair of faults joins both with a plus sign.
    const pairs = this.#hasPairs || (only?.includes('+') ?? false);
    const cases = listCallCases({ seeds, pairs }).filter((testCase) =>
      isSelected(formatCallCaseName(testCase), only),
    );
    const broken: BrokenCase[] = [];
    if (only !== undefined) return this.#runInDetail(cases);
    const cells = await runCallCases(cases, (testCase, violations) => {
      broken.push({
        name: formatCallCaseName(testCase),
        seed: testCase.seed,
        findings: describeViolations(violations),
      });
    });
    return { cases: cases.length, broken, text: formatCells(cells) };
  }

  async #runInDetail(cases: ReturnType<typeof listCallCases>): Promise<SuiteReport> {
    const broken: BrokenCase[] = [];
    const lines: string[] = [];
    for (const testCase of cases) {
      const name = formatCallCaseName(testCase);
      const { outcomes, texts, violations } = await runCallCase(testCase);
      const findings = describeViolations(violations);
      lines.push(`${name} seed ${testCase.seed}`);
      lines.push(...texts.map((text, index) => `  ${outcomes[index] ?? ''}: ${text}`));
      lines.push(`  ${findings}`);
      if (hasViolations(violations)) broken.push({ name, seed: testCase.seed, findings });
    }
    return { cases: cases.length, broken, text: lines.join('\n') };
  }
}

/** Faults at every step of the distribution of a version. */
export class DistributionSuite implements Suite {
  readonly name = 'versions';

  async run({ seeds, only }: SuiteSelection): Promise<SuiteReport> {
    const cases = seeds.flatMap((seed) =>
      Object.values(DistributionStep).flatMap((step) =>
        Object.values(DistributionFault).map((fault) => ({ seed, step, fault })),
      ),
    );
    const selected = cases.filter(({ step, fault }) => isSelected(`${step}/${fault}`, only));
    const broken: BrokenCase[] = [];
    const rows: string[][] = [];
    for (const testCase of selected) {
      const { behind, reverted, inForceMs } = await runDistributionCase(testCase);
      const name = `${testCase.step}/${testCase.fault}`;
      rows.push([name, `seed ${testCase.seed}`, `in force after ${inForceMs} ms`]);
      if (behind + reverted === 0) continue;
      broken.push({ name, seed: testCase.seed, findings: `behind=${behind} reverted=${reverted}` });
    }
    return { cases: selected.length, broken, text: formatTable(rows) };
  }
}

/** Calls whose entry and guards know different versions of the configuration or instance list. */
export class DisagreementSuite implements Suite {
  readonly name = 'disagreements';

  async run({ seeds, only }: SuiteSelection): Promise<SuiteReport> {
    const cases = listDisagreementCases(seeds).filter((testCase) =>
      isSelected(formatDisagreementCaseName(testCase), only),
    );
    const broken: BrokenCase[] = [];
    const lines: string[] = [];
    const completions = new Map<string, number>();
    await runDisagreementCases(cases, (testCase, result, findings) => {
      const name = formatDisagreementCaseName(testCase);
      completions.set(result.completion, (completions.get(result.completion) ?? 0) + 1);
      if (only !== undefined)
        lines.push(...describeResult(`${name} seed ${testCase.seed}`, result));
      if (findings) broken.push({ name, seed: testCase.seed, findings });
    });
    const rows = [...completions].map(([completion, count]) => [completion, String(count)]);
    lines.push(formatTable([['result', 'cases'], ...rows]));
    return { cases: cases.length, broken, text: lines.join('\n') };
  }
}

function isSelected(name: string, only: string | undefined): boolean {
  return only === undefined || name === only;
}

function describeResult(name: string, { completion, runs, trace }: DisagreementResult): string[] {
  return [name, ...trace.map((line) => `  ${line}`), `  ${completion} runs=${runs}`];
}

function describeViolations(violations: object): string {
  return Object.entries(violations)
    .map(([name, count]) => `${name}=${String(count)}`)
    .join(' ');
}

function formatCells(cells: readonly MatrixCell[]): string {
  const heading = [
    'fault',
    'step',
    'cases',
    'answered',
    'not run',
    'unknown',
    'doubled',
    'dropped',
    'untrue',
    'leaked',
    'crossed',
  ];
  const rows = cells.map((cell) => [
    cell.fault,
    cell.step,
    ...[cell.cases, cell.answered, cell.notRun, cell.unknown].map(String),
    ...Object.values(cell.violations).map(String),
  ]);
  return formatTable([heading, ...rows]);
}
