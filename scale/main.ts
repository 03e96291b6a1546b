import { writeFileSync } from 'node:fs';
import { RealTimer } from '../timer/mod.ts';
import { measureConfigurationCost, measureFleetCost } from './apply_cost.ts';
import { measureControlCost, type ControlCost } from './control_cost.ts';
import { measureBareNodeMemory } from './bare_node.ts';
import { measureLinkCost, measureLinkHeap } from './link_cost.ts';
import { measureProcessCost } from './process_cost.ts';
import { SLOPES_FILE, type Slopes } from './slopes.ts';

const CONTROL_SIZES = [6, 60, 200];
const SERVICE_SIZES = [50, 150, 310, 600];
const INSTANCE_SIZES = [300, 900, 1_800, 3_600];
const LINK_SIZES = [0, 64, 128, 256];
const PROCESS_SIZES = [7, 21, 49];

const timer = new RealTimer();
const control: ControlCost[] = [];
for (const size of CONTROL_SIZES) control.push(printMeasurement(await measureControlCost(size)));
const configuration = SERVICE_SIZES.map((size) => printMeasurement(measureConfigurationCost(size)));
const fleet = INSTANCE_SIZES.map((size) => printMeasurement(measureFleetCost(size)));
const links = [];
for (const size of LINK_SIZES) links.push(printMeasurement(await measureLinkCost(size, timer)));
const linkHeap = [];
for (const size of LINK_SIZES.slice(1))
  linkHeap.push(printMeasurement(await measureLinkHeap(size, timer)));
const processes = [];
for (const size of PROCESS_SIZES)
  processes.push(printMeasurement(await measureProcessCost(size, timer)));

const bareNodeBytes = printMeasurement(await measureBareNodeMemory(timer));

const slopes: Slopes = { control, configuration, fleet, links, linkHeap, processes, bareNodeBytes };
writeFileSync(SLOPES_FILE, `${JSON.stringify(slopes, null, 2)}\n`);
process.stdout.write(`wrote ${SLOPES_FILE}; npm run capacity writes the page from it\n`);
process.exit(0);

function printMeasurement<T>(measured: T): T {
  process.stdout.write(`${JSON.stringify(measured)}\n`);
  return measured;
}
