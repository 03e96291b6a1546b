import type { HomeRegions } from '../failure_domain/mod.ts';

/** Whether a call of a route may be executed again. */
export enum Repeatability {
  Idempotent = 'idempotent',
  /** Runs at most once, under an issued key. */
  NonIdempotent = 'non-idempotent',
  /** Runs at most once each time it is sent; the caller has no key with which to repeat it. */
  Keyless = 'keyless',
}

/** One of the pools that share a route's calls. */
export interface PoolShare {
  pool: string;
  /** Share of the calls, relative to the other pools. */
  weight: number;
}

/** Part of the configuration that belongs to one customer. */
export interface Workspace {
  name: string;
  /** Host names whose calls belong to it. */
  hosts: readonly string[];
  homeRegions: HomeRegions;
}

/** Rules for one kind of call. */
export interface Route {
  name: string;
  workspace: string;
  /** Methods that the route serves; all if absent. */
  methods: readonly string[] | undefined;
  /** Path prefix; matches whole segments. */
  path: string;
  /** Pools that share its calls; at least one. */
  pools: readonly PoolShare[];
  repeatability: Repeatability;
  /** Regions that both the workspace and the route permit. */
  homeRegions: HomeRegions;
  /** Value of an answer in time, relative to other routes; the lowest is refused first. */
  weight: number;
  timeoutMs: number;
  /** Time within which an answer has its full value, in milliseconds. */
  objectiveMs: number;
  /** Number of targets that one call may reach. */
  maxAttempts: number;
  bodyLimitBytes: number;
  /** Whether calls that crash their targets are found by their fingerprints, and refused. */
  quarantine: boolean;
  /** Whether a slow idempotent call may be sent to a second target. */
  hedge: boolean;
}

/**
 * @param route A route.
 * @returns Whether its calls may run at most once.
 */
export function runsAtMostOnce({ repeatability }: Route): boolean {
  return repeatability !== Repeatability.Idempotent;
}

/** Rules under which a sender routed a call, as it states them to the executor. */
export interface RoutingRules {
  /** Name of the route's workspace. */
  workspace: string;
  /** Name of the route. */
  route: string;
  /** Name of the pool that runs the call. */
  pool: string;
  /** Repeatability that the sender assumes and is responsible for. */
  repeatability: Repeatability;
  /** Version of the configuration under which the call was routed. */
  version: number;
}

/**
 * Merges the route of a call in flight with a newer version of it. A call that runs at most once
 * stays so, since an attempt made under the older version may rely on it.
 *
 * @param older The route under which the call was resolved.
 * @param newer The route under which it is resolved now.
 * @returns The route to use from now on.
 */
export function mergeNewerRoute(older: Route, newer: Route): Route {
  if (runsAtMostOnce(older)) return { ...newer, repeatability: older.repeatability };
  // The caller was not asked for a key.
  return runsAtMostOnce(newer) ? { ...newer, repeatability: Repeatability.Keyless } : newer;
}

/** A set of targets that serve the same calls, with its limits. */
export interface Pool {
  name: string;
  /** Number of calls that one warm target may run concurrently. */
  slots: number;
  /** Number of concurrent calls that one target may get after a cold start. */
  coldSlots: number;
  /** Shortest time at the cold limit, in milliseconds. */
  coldMs: number;
  /** Calls per second that a cold target may get; unlimited if absent. */
  coldPerSecond: number | undefined;
  /** Path of the health endpoint of its targets; taken from the settings if absent. */
  healthPath: string | undefined;
  /** Number of calls that may be queued at one target. */
  queueLength: number;
  /** Longest time in the queue of one target, in milliseconds. */
  queueWaitMs: number;
  /** Number of retries per hundred calls. */
  retryPercent: number;
}
