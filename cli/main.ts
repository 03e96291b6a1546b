#!/usr/bin/env node
import { cac } from 'cac';
import { suggestName } from '../finding/mod.ts';
import { runCheck } from './check_command.ts';
import { runExplain, runRollout, runRoutes, runStatus } from './daemon_commands.ts';
import { ExitCode } from './exit_code.ts';
import { Output } from './output.ts';
import { runPatch } from './patch_command.ts';

const EXIT_CODES = `Exit codes:
  0  done
  1  a daemon could not be reached, or not all have the version
  2  the command's words or a document have findings`;

interface CommonOptions {
  json?: boolean;
}

const cli = cac('rhubarbkeel');
cli.option('--json', 'Print JSON');

cli
  .command('check <...files>', 'Check settings and configuration documents')
  .action((files: string[], options: CommonOptions) => {
    end(runCheck(files, outputOf(options)));
  });
cli
  .command('patch <configuration> <patch>', 'Check a patch and print the next version')
  .action((configuration: string, patch: string, options: CommonOptions) => {
    end(runPatch(configuration, patch, outputOf(options)));
  });
cli
  .command('status <...daemons>', 'Show the state of daemons, by host:port for operators')
  .action(async (daemons: string[], options: CommonOptions) => {
    end(await runStatus(daemons, outputOf(options)));
  });
cli
  .command('routes <daemon>', 'Show the routes in force at a daemon')
  .action(async (daemon: string, options: CommonOptions) => {
    end(await runRoutes(daemon, outputOf(options)));
  });
cli
  .command('rollout <...daemons>', 'Show which daemons have the newest version in force')
  .action(async (daemons: string[], options: CommonOptions) => {
    end(await runRollout(daemons, outputOf(options)));
  });
cli
  .command('explain <call> <...daemons>', 'Show why a call went where it did')
  .action(async (call: string, daemons: string[], options: CommonOptions) => {
    end(await runExplain(call, daemons, outputOf(options)));
  });
cli.help((sections) => [...sections, { body: EXIT_CODES }]);
cli.addEventListener('command:*', () => {
  const got = cli.args[0] ?? '';
  const known = cli.commands.map(({ name }) => name);
  process.stderr.write(`unknown command "${got}"${suggestName(got, known)}\n`);
  end(ExitCode.Findings);
});

run();

function run(): void {
  try {
    const { options } = cli.parse(process.argv, { run: false });
    const hasCommand = cli.matchedCommand !== undefined || cli.args.length > 0;
    if (!hasCommand && options.help !== true) cli.outputHelp();
    void cli.runMatchedCommand();
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : 'failed'}\n`);
    end(ExitCode.Findings);
  }
}

function outputOf({ json }: CommonOptions): Output {
  return new Output(json ?? false);
}

function end(code: ExitCode): void {
  process.exitCode = code;
}
