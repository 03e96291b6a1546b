import { readFileSync, writeFileSync } from 'node:fs';
import { renderCapacityPage } from './capacity_page.ts';
import { SLOPES_FILE, type Slopes } from './slopes.ts';

const PAGE_FILE = 'docs/CAPACITY.md';

const slopes = JSON.parse(readFileSync(SLOPES_FILE, 'utf8')) as Slopes;
writeFileSync(PAGE_FILE, renderCapacityPage(readFileSync(PAGE_FILE, 'utf8'), slopes));
process.stdout.write(`wrote the tables of ${PAGE_FILE}\n`);
