import { createHash } from 'node:crypto';
import { InstanceStage, type Fleet, type Instance } from '../instance/mod.ts';

/** Number of daemons in each failure domain that watch the platform. */
export const WATCHERS_PER_DOMAIN = 2;

/**
 * Selects the daemons of a failure domain that watch the platform for the others.
 * Ranks them by a hash of the instance name, so that all daemons with the same
 * instance list select the same watchers without coordination.
 *
 * @param fleet The instance list.
 * @param failureDomain Name of the failure domain.
 * @returns The watchers, in the order of their ranks.
 */
export function selectWatchers(fleet: Fleet, failureDomain: string): Instance[] {
  return fleet.instances
    .filter((each) => each.failureDomain === failureDomain && each.stage === InstanceStage.Live)
    .map((instance) => ({ instance, rank: computeRank(instance.id) }))
    .sort((a, b) => (a.rank < b.rank ? -1 : 1))
    .slice(0, WATCHERS_PER_DOMAIN)
    .map(({ instance }) => instance);
}

function computeRank(instanceId: string): string {
  return createHash('sha256').update(`watcher/${instanceId}`).digest('hex');
}
