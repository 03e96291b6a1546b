/** The entry of a target in the users' store. */
export interface PlatformEntry {
  pool: string;
  /** `host:port` of the target. */
  address: string;
  failureDomain: string;
  slots: number;
  isLeaving: boolean;
  /** Start of the target's incarnation, in Unix milliseconds. */
  bornMs: number;
}

/** A route as the operators of the users' platform define it. */
export interface PlatformRoute {
  name: string;
  prefix: string;
  pool: string;
  isSafe: boolean;
  homeRegions: readonly string[];
}

/** Header that gives a target the pool of the caller; callers may not set it. */
export const CALLER_POOL_HEADER = 'caller-service';
/** Host of all routes. */
export const PLATFORM_HOST = 'soak.example';
/** Calls per second that a cold target can execute. */
export const COLD_PER_SECOND = 8.6;
/** Time after its start for which a target is cold, in milliseconds. */
export const COLD_MS = 3_000;

/** Key under which operators write the configuration. */
export const CONFIGURATION_KEY = 'op/config';

/**
 * Composes the store's key of a target's entry.
 *
 * @param targetId Identifier of the target's incarnation.
 * @returns The key.
 */
export function makeEntryKey(targetId: string): string {
  return `servers/${targetId}`;
}

/**
 * Composes the store's key whose presence takes a failure domain out of service.
 *
 * @param failureDomain Name of the failure domain.
 * @returns The key.
 */
export function makeEvacuationKey(failureDomain: string): string {
  return `op/evacuate/${failureDomain}`;
}

/**
 * Creates the value that a target writes to the store.
 *
 * @param entry Entry of the target.
 * @returns The value.
 */
export function makeEntryValue(entry: PlatformEntry): object {
  return {
    service: entry.pool,
    address: entry.address,
    zone: entry.failureDomain,
    version: 'v1',
    slots: entry.slots,
    state: entry.isLeaving ? 'draining' : 'ready',
    cold_remaining: '0ms',
    sequence: 1,
    born: entry.bornMs,
  };
}

/**
 * Creates the value that operators write to the store as the configuration.
 *
 * @param version Number of the version.
 * @param pools Names of the pools.
 * @param routes The routes.
 * @returns The value.
 */
export function makeConfigurationValue(
  version: number,
  pools: readonly string[],
  routes: readonly PlatformRoute[],
): object {
  const resources = [
    ...routes.map(({ name, prefix, pool, isSafe, homeRegions }) => ({
      resource_type: 'routes',
      metadata: { name },
      spec: {
        host: PLATFORM_HOST,
        prefix,
        kind: isSafe ? 'safe' : 'unsafe',
        timeout: '2s',
        target_latency: '500ms',
        priority: isSafe ? 2 : 1,
        service: pool,
        max_attempts: 2,
        allowed_regions: homeRegions,
      },
    })),
    ...pools.map((name) => ({
      resource_type: 'services',
      metadata: { name },
      spec: {
        health_path: '/health',
        max_connections: 260,
        cold_start: `${COLD_MS}ms`,
        cold_per_s: COLD_PER_SECOND,
      },
    })),
  ];
  return { version: version.toString(16).padStart(8, '0'), resources };
}
