import { createHash } from 'node:crypto';
import { InstanceStage, type Fleet, type Instance } from '../instance/mod.ts';

/** Daemons of each failure domain that watch the platform. */
export const WATCHERS_PER_DOMAIN = 2;

/**
 * Ranks the daemons of a failure domain that watch the platform for the
 * others, by hash over the instance list, so that all agree without a vote.
 *
 * @param fleet The instance list.
 * @param failureDomain Name of the failure domain.
 * @returns The watchers, first choice first.
 */
export function selectWatchers(fleet: Fleet, failureDomain: string): Instance[] {
  return fleet.instances
    .filter((each) => each.failureDomain === failureDomain && each.stage === InstanceStage.Live)
    .map((instance) => ({ instance, rank: rankOf(instance.id) }))
    .sort((a, b) => (a.rank < b.rank ? -1 : 1))
    .slice(0, WATCHERS_PER_DOMAIN)
    .map(({ instance }) => instance);
}

function rankOf(instanceId: string): string {
  return createHash('sha256').update(`watcher/${instanceId}`).digest('hex');
}
