import { spawnSync } from 'node:child_process';

/** A step of the check: a program from the project's own dependencies. */
interface Step {
  name: string;
  args: readonly string[];
}

const STEPS: readonly Step[] = [
  { name: 'formatter', args: ['prettier', '--check', '--log-level', 'warn', '.'] },
  { name: 'linter', args: ['eslint', '.'] },
];

let failedSteps = 0;
for (const { name, args } of STEPS) {
  const { status } = spawnSync('npx', ['--no', '--', ...args], { stdio: 'inherit' });
  const isClean = status === 0;
  process.stdout.write(`${name}: ${isClean ? 'clean' : 'failed'}\n`);
  if (!isClean) failedSteps += 1;
}

const tests = spawnSync('npx', ['--no', '--', 'tap', '--reporter=tap'], {
  encoding: 'utf8',
  maxBuffer: 268_435_456,
});
const counts = countAsserts(tests.stdout);
const hasRunFailure = tests.status !== 0 && counts.failed === 0;
if (tests.status !== 0) process.stdout.write(`${tests.stdout}\n${tests.stderr}\n`);
for (const file of tests.stdout.matchAll(/^(?:not )?ok \d+ - (\S+_test\.js)/gm)) {
  process.stdout.write(`${file[0].startsWith('ok') ? 'passed' : 'FAILED'} ${file[1] ?? ''}\n`);
}
const failed = counts.failed + failedSteps + (hasRunFailure ? 1 : 0);
process.stdout.write(`${counts.passed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);

/** Counts the innermost test points, which are the assertions. */
function countAsserts(output: string): { passed: number; failed: number } {
  const points = [...output.matchAll(/^ {8,}(not )?ok \d+/gm)];
  const failedPoints = points.filter(([, not]) => not !== undefined).length;
  return { passed: points.length - failedPoints, failed: failedPoints };
}
