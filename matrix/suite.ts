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

/** What to play of a suite. */
export interface SuiteSelection {
  seeds: readonly number[];
  /** Name of the only case to play; all if absent. */
  only: string | undefined;
}

/** A case that broke a promise. */
export interface BrokenCase {
  name: string;
  seed: number;
  findings: string;
}

/** How the cases of a suite ended. */
export interface SuiteReport {
  cases: number;
  broken: BrokenCase[];
  /** Ends to print; in full detail if one case was chosen. */
  text: string;
}

/** A set of cases that are played and judged in the same way. */
export interface Suite {
  readonly name: string;
  /**
   * @param selection What to play.
   * @returns How it ended.
   */
  run(selection: SuiteSelection): Promise<SuiteReport>;
}

/** Faults at every step of a call. */
export class CallSuite implements Suite {
  readonly name = 'calls';
  readonly #hasPairs: boolean;

  /** @param hasPairs Whether each pair of faults at once is played. */
  constructor(hasPairs: boolean) {
    this.#hasPairs = hasPairs;
  }

  async run({ seeds, only }: SuiteSelection): Promise<SuiteReport> {
    // The name of a pair of faults joins both with a plus sign.
    const pairs = this.#hasPairs || (only?.includes('+') ?? false);
    const cases = listCallCases({ seeds, pairs }).filter((each) =>
      isChosen(formatCallCaseName(each), only),
    );
    const broken: BrokenCase[] = [];
    if (only !== undefined) return this.#replay(cases);
    const cells = await runCallCases(cases, (each, violations) => {
      broken.push({
        name: formatCallCaseName(each),
        seed: each.seed,
        findings: describeViolations(violations),
      });
    });
    return { cases: cases.length, broken, text: tableOf(cells) };
  }

  async #replay(cases: ReturnType<typeof listCallCases>): Promise<SuiteReport> {
    const broken: BrokenCase[] = [];
    const lines: string[] = [];
    for (const each of cases) {
      const name = formatCallCaseName(each);
      const { outcomes, texts, violations } = await runCallCase(each);
      const findings = describeViolations(violations);
      lines.push(`${name} seed ${each.seed}`);
      lines.push(...texts.map((text, index) => `  ${outcomes[index] ?? ''}: ${text}`));
      lines.push(`  ${findings}`);
      if (hasViolations(violations)) broken.push({ name, seed: each.seed, findings });
    }
    return { cases: cases.length, broken, text: lines.join('\n') };
  }
}

/** Faults on a version's way to every daemon. */
export class DistributionSuite implements Suite {
  readonly name = 'versions';

  async run({ seeds, only }: SuiteSelection): Promise<SuiteReport> {
    const cases = seeds.flatMap((seed) =>
      Object.values(DistributionStep).flatMap((step) =>
        Object.values(DistributionFault).map((fault) => ({ seed, step, fault })),
      ),
    );
    const chosen = cases.filter(({ step, fault }) => isChosen(`${step}/${fault}`, only));
    const broken: BrokenCase[] = [];
    const rows: string[][] = [];
    for (const each of chosen) {
      const { behind, reverted, inForceMs } = await runDistributionCase(each);
      const name = `${each.step}/${each.fault}`;
      rows.push([name, `seed ${each.seed}`, `in force after ${inForceMs} ms`]);
      if (behind + reverted === 0) continue;
      broken.push({ name, seed: each.seed, findings: `behind=${behind} reverted=${reverted}` });
    }
    return { cases: chosen.length, broken, text: formatTable(rows) };
  }
}

/** Calls whose entry and guards know different versions of the configuration or instance list. */
export class DisagreementSuite implements Suite {
  readonly name = 'disagreements';

  async run({ seeds, only }: SuiteSelection): Promise<SuiteReport> {
    const cases = listDisagreementCases(seeds).filter((each) =>
      isChosen(formatDisagreementCaseName(each), only),
    );
    const broken: BrokenCase[] = [];
    const lines: string[] = [];
    const ends = new Map<string, number>();
    await runDisagreementCases(cases, (each, result, findings) => {
      const name = formatDisagreementCaseName(each);
      ends.set(result.completion, (ends.get(result.completion) ?? 0) + 1);
      if (only !== undefined) lines.push(...describeResult(`${name} seed ${each.seed}`, result));
      if (findings) broken.push({ name, seed: each.seed, findings });
    });
    const rows = [...ends].map(([end, count]) => [end, String(count)]);
    lines.push(formatTable([['end', 'cases'], ...rows]));
    return { cases: cases.length, broken, text: lines.join('\n') };
  }
}

function isChosen(name: string, only: string | undefined): boolean {
  return only === undefined || name === only;
}

function describeResult(
  name: string,
  { completion: end, runs, trace }: DisagreementResult,
): string[] {
  return [name, ...trace.map((line) => `  ${line}`), `  ${end} runs=${runs}`];
}

function describeViolations(violations: object): string {
  return Object.entries(violations)
    .map(([name, count]) => `${name}=${String(count)}`)
    .join(' ');
}

function tableOf(cells: readonly MatrixCell[]): string {
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
