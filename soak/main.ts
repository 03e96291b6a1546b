#!/usr/bin/env node
import { cac } from 'cac';
import { runSoak } from './run_soak.ts';

const MS_PER_SECOND = 1_000;
const EXIT_BROKEN = 1;
/** Exit code of a soak that was told to end. */
const EXIT_ENDED = 130;

// The daemons are ended as the process exits, which a signal alone would not have it do.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(EXIT_ENDED));
}

const cli = cac('rhubarbkeel-soak');
cli
  .command('', 'Runs daemons as processes, harms them from outside, and checks what callers see')
  .option('--seed <number>', 'Seed of the faults and the calls', { default: 1 })
  .option('--seeds <number>', 'Seeds to run, one after the other, from --seed on', { default: 1 })
  .option('--machines <number>', 'Machines, each with a daemon', { default: 6 })
  .option('--seconds <number>', 'Time with faults', { default: 20 })
  .option('--faults', 'Print each fault as it happens')
  .action(async (options: SoakCommand) => {
    let broken = 0;
    for (let index = 0; index < options.seeds; index += 1) {
      if (!(await soak(options.seed + index, options))) broken += 1;
    }
    process.stdout.write(`${options.seeds} seeds, ${broken} with a promise broken\n`);
    process.exit(broken === 0 ? 0 : EXIT_BROKEN);
  });
cli.help();
cli.parse();

interface SoakCommand {
  seed: number;
  seeds: number;
  machines: number;
  seconds: number;
  faults?: boolean;
}

async function soak(seed: number, { machines, seconds, faults }: SoakCommand): Promise<boolean> {
  const report = await runSoak({
    seed,
    machines,
    faultPhaseMs: seconds * MS_PER_SECOND,
    ...(faults ? { onFault: (atMs, name) => process.stdout.write(`${atMs} ms ${name}\n`) } : {}),
  });
  const { calls, answered, runs, findings, folder } = report;
  process.stdout.write(
    `seed ${seed}: ${report.faults} faults, ${calls} calls, ${answered} answered, ${runs} runs, ` +
      `${findings.length} findings${findings.length > 0 ? `, logs in ${folder}` : ''}\n`,
  );
  for (const { guarantee: promised, detail } of findings)
    process.stdout.write(`  ${promised}: ${detail}\n`);
  return findings.length === 0;
}
