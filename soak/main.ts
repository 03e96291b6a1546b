#!/usr/bin/env node
import { cac } from 'cac';
import { runSoak } from './run_soak.ts';

const MS_PER_SECOND = 1_000;
const EXIT_VIOLATION = 1;
/** Exit code of a soak that a signal interrupted. */
const EXIT_INTERRUPTED = 130;

// Exits explicitly: daemons are killed by the process's exit event, which doesn't fire on death by signal.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(EXIT_INTERRUPTED));
}

const cli = cac('rhubarbkeel-soak');
cli
  .command(
    '',
    'Runs daemons as processes, injects faults from outside, and checks what callers see',
  )
  .option('--seed <number>', 'Seed of the faults and the calls', { default: 1 })
  .option('--seeds <number>', 'Number of seeds to run in sequence, starting at --seed', {
    default: 1,
  })
  .option('--machines <number>', 'Number of machines, each with a daemon', { default: 6 })
  .option('--seconds <number>', 'Time during which faults are injected', { default: 20 })
  .option('--faults', 'Print each fault when it is injected')
  .action(async (options: SoakCommandOptions) => {
    let failedSeeds = 0;
    for (let index = 0; index < options.seeds; index += 1) {
      if (!(await soak(options.seed + index, options))) failedSeeds += 1;
    }
    process.stdout.write(`${options.seeds} seeds, ${failedSeeds} with a violated guarantee\n`);
    process.exit(failedSeeds === 0 ? 0 : EXIT_VIOLATION);
  });
cli.help();
cli.parse();

interface SoakCommandOptions {
  seed: number;
  seeds: number;
  machines: number;
  seconds: number;
  faults?: boolean;
}

async function soak(
  seed: number,
  { machines, seconds, faults }: SoakCommandOptions,
): Promise<boolean> {
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
  for (const { guarantee, detail } of findings) process.stdout.write(`  ${guarantee}: ${detail}\n`);
  return findings.length === 0;
}
