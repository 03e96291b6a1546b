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
  1  a daemon could not be reached or lacks the newest version, or no daemon has events of the call
  2  the command line is invalid, or a document has findings`;

interface CommonOptions {
  json?: boolean;
}

const cli = cac('rhubarbkeel');
cli.option('--json', 'Print JSON');

cli
  .command('check <...files>', 'Check settings and configuration documents')
  .action((files: string[], options: CommonOptions) => {
    setExitCode(runCheck(files, makeOutput(options)));
  });
cli
  .command('patch <configuration> <patch>', 'Check a patch and print the next version')
  .action((configuration: string, patch: string, options: CommonOptions) => {
    setExitCode(runPatch(configuration, patch, makeOutput(options)));
  });
cli
  .command(
    'status <...daemons>',
    'Show the state of daemons, given their operator addresses (host:port)',
  )
  .action(async (daemons: string[], options: CommonOptions) => {
    setExitCode(await runStatus(daemons, makeOutput(options)));
  });
cli
  .command('routes <daemon>', 'Show the routes in force at a daemon')
  .action(async (daemon: string, options: CommonOptions) => {
    setExitCode(await runRoutes(daemon, makeOutput(options)));
  });
cli
  .command('rollout <...daemons>', 'Show which daemons have the newest version in force')
  .action(async (daemons: string[], options: CommonOptions) => {
    setExitCode(await runRollout(daemons, makeOutput(options)));
  });
cli
  .command('explain <call> <...daemons>', 'Show the decisions that daemons made for a call')
  .action(async (call: string, daemons: string[], options: CommonOptions) => {
    setExitCode(await runExplain(call, daemons, makeOutput(options)));
  });
cli.help((sections) => [...sections, { body: EXIT_CODES }]);
cli.addEventListener('command:*', () => {
  const command = cli.args[0] ?? '';
  const known = cli.commands.map(({ name }) => name);
  process.stderr.write(`unknown command "${command}"${suggestName(command, known)}\n`);
  setExitCode(ExitCode.Findings);
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
    setExitCode(ExitCode.Findings);
  }
}

function makeOutput({ json }: CommonOptions): Output {
  return new Output(json ?? false);
}

function setExitCode(code: ExitCode): void {
  process.exitCode = code;
}
