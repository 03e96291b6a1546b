import type { HomeRegions } from '../failure_domain/mod.ts';

/** Whether a call of a route may be executed again. */
export enum Repeatability {
  Idempotent = 'idempotent',
  /** Runs at most once, under an issued key. */
  NonIdempotent = 'non-idempotent',
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
  methods: readonly string[];
  /** Path prefix; matches whole segments. */
  path: string;
  pool: string;
  repeatability: Repeatability;
  /** Regions that both the workspace and the route permit. */
  homeRegions: HomeRegions;
  /** Value of one answer in time, relative to other routes; the lowest is shed first. */
  weight: number;
  timeoutMs: number;
  bodyLimitBytes: number;
  /** Whether its calls are fingerprinted to find those that crash targets. */
  quarantine: boolean;
  /** Whether a slow idempotent call may be sent to a second target. */
  hedge: boolean;
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
  /** Calls that may wait at one target. */
  queueLength: number;
  /** Longest wait at one target, in milliseconds. */
  queueWaitMs: number;
  /** Further attempts per hundred calls. */
  retryPercent: number;
}
