import { spawn } from 'node:child_process';
import t from 'tap';

const LIFETIME_MS = 600;
const EXIT_CODE = 7;

/** A program that logs continuously and exits by itself. */
const PROGRAM = `
import { ConsoleLog, Event } from '${new URL('./mod.js', import.meta.url).href}';
const log = new ConsoleLog();
setInterval(() => log.write(Event.DaemonResumed, { version: 1 }), 2);
setTimeout(() => { log.flush(); process.exit(${EXIT_CODE}); }, ${LIFETIME_MS});
`;

void t.test(
  'ConsoleLog.write() does not end the process when its reader closes the pipe',
  async (t) => {
    const child = spawn(process.execPath, ['--input-type=module', '--eval', PROGRAM], {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    child.stdout.once('data', () => child.stdout.destroy());
    const code = await new Promise<number | null>((resolve) => child.once('close', resolve));
    t.equal(code, EXIT_CODE);
  },
);
