import { init } from 'z3-solver';
import { formatTable } from '../cli/output.ts';
import { atMostOnce } from './at_most_once.ts';
import { checkSystem, type CheckReport } from './check.ts';
import { disagreement } from './disagreement.ts';
import { versions } from './versions.ts';

const { Context } = await init();
const z3 = Context('spec');
let isProved = true;
for (const system of [atMostOnce, versions, disagreement]) {
  const report = await checkSystem(z3, system);
  print(report);
  const isSound = report.violated.length === 0 && report.isInductive;
  const allFound = report.mutants.every(({ property }) => property !== undefined);
  isProved &&= isSound && allFound;
}
process.stdout.write(isProved ? 'proved\n' : 'NOT proved\n');
process.exit(isProved ? 0 : 1);

function print({ system, stepsChecked, violated, isInductive, mutants }: CheckReport): void {
  const state = violated.length === 0 ? 'hold' : `broken: ${violated.join(', ')}`;
  process.stdout.write(`${system}: properties ${state} up to ${stepsChecked} steps`);
  process.stdout.write(isInductive ? ', and by induction for any number\n' : ', NOT inductive\n');
  const rows = mutants.map(({ rule, property, steps }) => [
    rule,
    property === undefined ? `NO counterexample within ${steps}` : `"${property}" breaks`,
    property === undefined ? '' : `after ${steps} steps`,
  ]);
  process.stdout.write(`${formatTable([['rule removed', 'found', ''], ...rows])}\n\n`);
}
