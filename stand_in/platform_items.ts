/** What a target says of itself in the users' store. */
export interface PlatformEntry {
  pool: string;
  /** `host:port` of the target. */
  address: string;
  failureDomain: string;
  slots: number;
  isLeaving: boolean;
  /** Start of the target's run, in Unix milliseconds. */
  bornMs: number;
}

/** A route as operators of the users' platform write it. */
export interface PlatformRoute {
  name: string;
  prefix: string;
  pool: string;
  isSafe: boolean;
  homeRegions: readonly string[];
}

/** Header by which a target is told where a call began; callers may not set it. */
export const CALLER_POOL_HEADER = 'caller-service';
/** Host of all routes. */
export const PLATFORM_HOST = 'soak.example';
/** Calls a second that a cold target bears. */
export const COLD_PER_SECOND = 8.6;
/** Time for which a target stays cold after its start, in milliseconds. */
export const COLD_MS = 3_000;

/** Key under which operators write the configuration. */
export const CONFIGURATION_KEY = 'op/config';

/**
 * @param targetId Name of a target's run.
 * @returns Key of its entry.
 */
export function makeEntryKey(targetId: string): string {
  return `servers/${targetId}`;
}

/**
 * @param failureDomain Name of a failure domain.
 * @returns Key whose presence takes it out of service.
 */
export function makeEvacuationKey(failureDomain: string): string {
  return `op/evacuate/${failureDomain}`;
}

/**
 * @param entry What the target says of itself.
 * @returns The value that it writes.
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
 * @param version Number of the version.
 * @param pools Names of the pools.
 * @param routes The routes.
 * @returns The value that operators write.
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
