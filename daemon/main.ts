#!/usr/bin/env node
import './early_signals.ts';
import { readFileSync } from 'node:fs';
import { cac } from 'cac';
import { ConsoleLog, Event, logTaskFailure } from '../event_log/mod.ts';
import { formatFinding } from '../finding/mod.ts';
import { parseSettings } from '../settings/mod.ts';
import { DaemonProcess } from './daemon_process.ts';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

const cli = cac('rhubarbkeeld');
cli
  .command('', 'Runs the daemon beside one target')
  .option('--settings <file>', 'Settings in JSON with comments; "-" reads standard input')
  .option('--settings-from <variable>', 'Environment variable that holds the path of the settings')
  .action(async (options: { settings?: string; settingsFrom?: string }) => {
    const { settings, settingsFrom } = options;
    await run(settings ?? process.env[settingsFrom ?? '']);
  });
cli.help();
cli.parse();

async function run(file: string | undefined): Promise<void> {
  if (file === undefined) {
    process.stderr.write('expected --settings <file>, got none\n');
    process.exit(EXIT_BAD_SETTINGS);
  }
  const settings = parseSettings(file, readFileSync(file === '-' ? 0 : file, 'utf8'));
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.map(formatFinding).join('\n')}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  const log = new ConsoleLog();
  // An unexpected error ends the task in which it occurs, for example a call, and no other.
  process.on('unhandledRejection', (error) => {
    logTaskFailure(log, error);
  });
  const started = await DaemonProcess.start({ settings: settings.value, log });
  if (started.isErr()) {
    process.stderr.write(`${started.error.map(({ detail }) => detail).join('\n')}\n`);
    process.exit(EXIT_FAILED);
  }
  stopOnSignal(started.value, log);
  reloadOnSignal(started.value, file, log);
}

/** Reloads the settings on SIGHUP. Settings with findings are rejected, and the present ones stay. */
function reloadOnSignal(daemonProcess: DaemonProcess, file: string, log: ConsoleLog): void {
  process.on('SIGHUP', () => {
    try {
      if (file === '-') throw new Error('standard input cannot be read again');
      const settings = parseSettings(file, readFileSync(file, 'utf8'));
      if (settings.isOk()) {
        daemonProcess.reload(settings.value);
        return;
      }
      const findings = settings.error.map(formatFinding).join('; ');
      log.write(Event.SettingsRejected, { file, findings });
    } catch (error) {
      const findings = error instanceof Error ? error.message : 'unreadable';
      log.write(Event.SettingsRejected, { file, findings });
    }
  });
}

function stopOnSignal(daemonProcess: DaemonProcess, log: ConsoleLog): void {
  let isDraining = false;
  const onSignal = () => {
    if (isDraining) exit(log, EXIT_FAILED);
    isDraining = true;
    void daemonProcess.drain().then(() => {
      exit(log, 0);
    });
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

function exit(log: ConsoleLog, code: number): void {
  log.flush();
  process.exit(code);
}
