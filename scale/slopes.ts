import type { ApplyCost } from './apply_cost.ts';
import type { ControlCost } from './control_cost.ts';
import type { LinkCost, LinkHeap } from './link_cost.ts';
import type { ProcessCost } from './process_cost.ts';

/** File of the measurements from which the capacity page is made. */
export const SLOPES_FILE = 'docs/capacity_slopes.json';

/** Measurements of all costs, most of them at several sizes. */
export interface Slopes {
  control: ControlCost[];
  /** By number of services. */
  configuration: ApplyCost[];
  /** By number of instances. */
  fleet: ApplyCost[];
  links: LinkCost[];
  linkHeap: LinkHeap[];
  processes: ProcessCost[];
  /** Resident memory of a Node.js process that does nothing, in bytes. */
  bareNodeBytes: number;
}
