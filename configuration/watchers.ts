import { createHash } from 'node:crypto';
import { InstanceStage, type Fleet, type Instance } from '../instance/mod.ts';

/** Number of daemons in each failure domain that watch the platform. */
export const WATCHERS_PER_DOMAIN = 2;

const rankings = new WeakMap<Fleet, Map<string, readonly Instance[]>>();

/**
 * Ranks the daemons of a failure domain, the first of which watch the platform for the others.
 * Ranks them by a hash of the instance name, so that all daemons with the same
 * instance list rank them alike without coordination.
 *
 * @param fleet The instance list.
 * @param failureDomain Name of the failure domain.
 * @returns The live instances of the domain, in the order of their ranks.
 */
export function rankWatchers(fleet: Fleet, failureDomain: string): readonly Instance[] {
  const ofFleet = rankings.get(fleet) ?? new Map<string, readonly Instance[]>();
  rankings.set(fleet, ofFleet);
  const ranked = ofFleet.get(failureDomain) ?? rankInstances(fleet, failureDomain);
  ofFleet.set(failureDomain, ranked);
  return ranked;
}

function rankInstances(fleet: Fleet, failureDomain: string): Instance[] {
  return fleet.instances
    .filter((each) => each.failureDomain === failureDomain && each.stage === InstanceStage.Live)
    .map((instance) => ({ instance, rank: computeRank(instance.id) }))
    .sort((a, b) => (a.rank < b.rank ? -1 : 1))
    .map(({ instance }) => instance);
}

function computeRank(instanceId: string): string {
  return createHash('sha256').update(`watcher/${instanceId}`).digest('hex');
}
