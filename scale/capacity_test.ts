import { readFileSync } from 'node:fs';
import t from 'tap';
import { renderCapacityPage } from './capacity_page.ts';
import { fitLine } from './fit.ts';
import { SLOPES_FILE, type Slopes } from './slopes.ts';

void t.test('capacity page contains the tables made from its measurements', (t) => {
  const page = readFileSync('docs/CAPACITY.md', 'utf8');
  const slopes = JSON.parse(readFileSync(SLOPES_FILE, 'utf8')) as Slopes;
  t.equal(renderCapacityPage(page, slopes), page);
  t.end();
});

void t.test('fitLine() gives slope, base and residual', (t) => {
  t.matchSnapshot(
    [
      fitLine([
        [1, 3],
        [2, 5],
        [3, 7],
      ]),
      fitLine([
        [1, 3],
        [2, 6],
        [3, 7],
      ]),
    ],
    'lines',
  );
  t.end();
});
