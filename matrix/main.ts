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
    'Plays faults at every step, and versions that differ, on real daemons in virtual time',
  )
  .option('--seeds <count>', 'Seeds to play each case with')
  .option('--pairs', 'Play each pair of faults at once')
  .option('--seed <seed>', 'Play with this seed only')
  .option('--case <case>', 'Play this case only, by the name that a broken one is printed with')
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
    if (report.cases > 0) print(suite.name, report, seeds);
    cases += report.cases;
    broken += report.broken.length;
  }
  if (cases > 0) return broken > 0 ? 1 : 0;
  process.stderr.write(`no case is named "${options.case ?? ''}"\n`);
  return 1;
}

function print(name: string, { cases, broken, text }: SuiteReport, seeds: readonly number[]): void {
  process.stdout.write(`${text}\n`);
  for (const { name: each, seed, findings } of broken) {
    process.stdout.write(`${findings}  npm run matrix -- --seed ${seed} --case ${each}\n`);
  }
  const sum = `${cases} cases, seeds ${seeds.join(',')}, ${broken.length} broken`;
  process.stdout.write(`${name}: ${sum}\n\n`);
}
