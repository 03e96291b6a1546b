import { cac } from 'cac';
import { formatTable } from '../cli/output.ts';
import { caseName, isBroken, listCases, playCases, type Cell } from './matrix.ts';
import { runCase, type Violations } from './run_case.ts';

const DEFAULT_SEEDS = 3;

interface MatrixOptions {
  seeds?: number;
  seed?: number;
  case?: string;
  pairs?: boolean;
}

const cli = cac('rhubarbkeel-matrix');
cli
  .command('', 'Plays every fault at every step of a call on real daemons in virtual time')
  .option('--seeds <count>', 'Seeds to play each case with')
  .option('--pairs', 'Play each pair of faults at once')
  .option('--seed <seed>', 'Play with this seed only')
  .option('--case <case>', 'Play this case only, as type/step/fault')
  .action(async (options: MatrixOptions) => {
    process.exitCode = await run(options);
  });
cli.help();
cli.parse();

async function run(options: MatrixOptions): Promise<number> {
  const seeds = options.seed
    ? [options.seed]
    : Array.from({ length: options.seeds ?? DEFAULT_SEEDS }, (_, index) => index + 1);
  const pairs = options.pairs ?? options.case?.includes('+');
  const cases = listCases({ seeds, pairs }).filter(
    (each) => options.case === undefined || caseName(each) === options.case,
  );
  if (options.case !== undefined) return replay(cases);
  const broken: string[] = [];
  const cells = await playCases(cases, (each, violations) => {
    const command = `npm run matrix -- --seed ${each.seed} --case ${caseName(each)}`;
    broken.push(`${describe(violations)}  ${command}`);
  });
  process.stdout.write(`${toTable(cells)}\n${broken.join('\n')}\n`);
  process.stdout.write(
    `${cases.length} cases, seeds ${seeds.join(',')}, ${broken.length} broken\n`,
  );
  return broken.length > 0 ? 1 : 0;
}

async function replay(cases: ReturnType<typeof listCases>): Promise<number> {
  let broken = 0;
  for (const each of cases) {
    const { outcomes, texts, violations } = await runCase(each);
    process.stdout.write(`${caseName(each)} seed ${each.seed}\n`);
    for (const [index, text] of texts.entries()) {
      process.stdout.write(`  ${outcomes[index] ?? ''}: ${text}\n`);
    }
    process.stdout.write(`  ${describe(violations)}\n`);
    if (isBroken(violations)) broken += 1;
  }
  return broken > 0 ? 1 : 0;
}

function describe(violations: Violations): string {
  return Object.entries(violations)
    .map(([name, count]) => `${name}=${count}`)
    .join(' ');
}

function toTable(cells: readonly Cell[]): string {
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
