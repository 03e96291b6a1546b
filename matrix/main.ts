import { cac } from 'cac';
import {
  CallSuite,
  DisagreementSuite,
  DistributionSuite,
  type Suite,
  type SuiteReport,
} from './suite.ts';

const DEFAULT_SEEDS = 3;

interface MatrixOptions {
  seeds?: number;
  seed?: number;
  case?: string;
  pairs?: boolean;
}

const cli = cac('rhubarbkeel-matrix');
cli
  .command(
    '',
    'Runs faults at every step, and versions that differ, on real daemons in virtual time',
  )
  .option('--seeds <count>', 'Number of seeds to run each case with')
  .option('--pairs', 'Run the cases of calls with pairs of simultaneous faults')
  .option('--seed <seed>', 'Run with this seed only')
  .option('--case <case>', 'Run this case only, by its name as printed for a broken case')
  .action(async (options: MatrixOptions) => {
    process.exitCode = await run(options);
  });
cli.help();
cli.parse();

async function run(options: MatrixOptions): Promise<number> {
  const seeds = options.seed
    ? [options.seed]
    : Array.from({ length: options.seeds ?? DEFAULT_SEEDS }, (_, index) => index + 1);
  const suites: Suite[] = [
    new CallSuite(options.pairs ?? false),
    new DistributionSuite(),
    new DisagreementSuite(),
  ];
  let [cases, broken] = [0, 0];
  for (const suite of suites) {
    const report = await suite.run({ seeds, only: options.case });
    if (report.cases > 0) printReport(suite.name, report, seeds);
    cases += report.cases;
    broken += report.broken.length;
  }
  if (cases > 0) return broken > 0 ? 1 : 0;
  process.stderr.write(`no case is named "${options.case ?? ''}"\n`);
  return 1;
}

function printReport(
  name: string,
  { cases, broken, text }: SuiteReport,
  seeds: readonly number[],
): void {
  process.stdout.write(`${text}\n`);
  for (const { name: caseName, seed, findings } of broken) {
    process.stdout.write(`${findings}  npm run matrix -- --seed ${seed} --case ${caseName}\n`);
  }
  const summary = `${cases} cases, seeds ${seeds.join(',')}, ${broken.length} broken`;
  process.stdout.write(`${name}: ${summary}\n\n`);
}
