import type { ApplyCost } from './apply_cost.ts';
import type { ControlCost } from './control_cost.ts';
import type { LinkCost, LinkHeap } from './link_cost.ts';
import type { ProcessCost } from './process_cost.ts';

/** Where the measurements are kept that the capacity page is made from. */
export const SLOPES_FILE = 'docs/capacity_slopes.json';

/** Everything that was measured at several sizes. */
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
