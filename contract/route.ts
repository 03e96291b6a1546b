import type { HomeRegions } from '../failure_domain/mod.ts';

/** Whether a call of a route may be executed again. */
export enum Repeatability {
  Idempotent = 'idempotent',
  /** Runs at most once, under an issued key. */
  NonIdempotent = 'non-idempotent',
  /** Runs at most once each time it is sent; its caller holds no key to ask again with. */
  Keyless = 'keyless',
}

/** One of the pools that share a route's calls. */
export interface PoolShare {
  pool: string;
  /** Share of the calls, relative to the other pools. */
  weight: number;
}

/** A customer's share of the configuration. */
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
  /** Methods that it serves; all if absent. */
  methods: readonly string[] | undefined;
  /** Path prefix; matches whole segments. */
  path: string;
  /** Pools that share its calls; at least one. */
  pools: readonly PoolShare[];
  repeatability: Repeatability;
  /** Regions that both the workspace and the route permit. */
  homeRegions: HomeRegions;
  /** Value of one answer in time, relative to other routes; the lowest is shed first. */
  weight: number;
  timeoutMs: number;
  /** Time within which an answer has its full value, in milliseconds. */
  objectiveMs: number;
  /** Targets that one call may reach. */
  maxAttempts: number;
  bodyLimitBytes: number;
  /** Whether its calls are fingerprinted to find those that crash targets. */
  quarantine: boolean;
  /** Whether a slow idempotent call may be sent to a second target. */
  hedge: boolean;
}

/**
 * @param route A route.
 * @returns Whether a call of it may run once at most.
 */
export function runsAtMostOnce({ repeatability }: Route): boolean {
  return repeatability !== Repeatability.Idempotent;
}

/** The rules that a call was decided by, as its sender names them to the executor. */
export interface RoutingRules {
  /** Name of the route's workspace. */
  workspace: string;
  /** Name of the route. */
  route: string;
  /** Name of the pool that is to run the call. */
  pool: string;
  /** How often the sender counts on the call to run, for which it answers. */
  repeatability: Repeatability;
  /** Version of the configuration that all this was taken from. */
  version: number;
}

/**
 * Brings a call under way to a newer version of its route. It never becomes repeatable again: an
 * attempt made under the older version may count on running at most once.
 *
 * @param older The route by which the call was decided.
 * @param newer The route that it belongs to now.
 * @returns The route to go on by.
 */
export function mergeNewerRoute(older: Route, newer: Route): Route {
  if (runsAtMostOnce(older)) return { ...newer, repeatability: older.repeatability };
  // Its caller was asked for no key.
  return runsAtMostOnce(newer) ? { ...newer, repeatability: Repeatability.Keyless } : newer;
}

/** Targets that serve the same calls, and their limits. */
export interface Pool {
  name: string;
  /** Calls that one target runs at once when warm. */
  slots: number;
  /** Calls that one target may get at once after a cold start. */
  coldSlots: number;
  /** Shortest time at the cold limit, in milliseconds. */
  coldMs: number;
  /** Calls a second that a cold target bears; no bound if absent. */
  coldPerSecond: number | undefined;
  /** Path of its targets' health endpoint; that of the settings if absent. */
  healthPath: string | undefined;
  /** Calls that may wait at one target. */
  queueLength: number;
  /** Longest wait at one target, in milliseconds. */
  queueWaitMs: number;
  /** Further attempts per hundred calls. */
  retryPercent: number;
}
