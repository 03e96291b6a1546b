import { err, ok, type Result } from 'neverthrow';
import {
  Deadline,
  RefusalReason,
  makeNotRunRefusal,
  mergeNewerRoute,
  type Call,
  type Refusal,
  type Route,
  type RouteQuery,
  type RouteTable,
} from '../contract/mod.ts';
import type { VersionTracker } from '../configuration/mod.ts';
import type { RandomSource } from '../random/mod.ts';
import type { ClusterSnapshot } from './dispatcher.ts';

/** Number of steps of the random draw that chooses among the pools of a route. */
const SHARE_STEPS = 1_000_000;
/** Maximum number of addresses in a refusal. */
const MAX_ADDRESSES = 4;

/** Reasons for refusals of calls that another configuration version might permit. */
const VERSION_DEPENDENT_REASONS: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.UnknownWorkspace,
  RefusalReason.UnknownRoute,
  RefusalReason.OutsideHomeRegions,
  RefusalReason.BodyTooLarge,
  RefusalReason.KeyRequired,
]);

/** What an entry outside a call's home regions does with the call. */
export enum ForeignEntryPolicy {
  /** Refuses the call and names daemons in the home regions; the call is not forwarded. */
  Refuse = 'refuse',
  /** Forwards the call into the home regions, for callers that can reach no other entry. */
  Forward = 'forward',
}

/** Route and pool of a call under one configuration version. */
export interface ResolvedRoute {
  route: Route;
  /** Pool that is to execute the call, one of the route's. */
  pool: string;
  /** The configuration version. */
  version: number;
}

/** Options of {@linkcode CallRouter}. */
export interface CallRouterOptions {
  random: RandomSource;
  foreignEntry: ForeignEntryPolicy;
  /** @returns Region of this daemon, if known. */
  getRegion: () => string | undefined;
  getRoutes: () => RouteTable;
  getSnapshot: () => ClusterSnapshot;
  versionTracker: VersionTracker;
}

/** Resolves the route and pool of calls, and re-resolves them after a newer version is applied. */
export class CallRouter {
  readonly #options: CallRouterOptions;

  /** @param options See {@linkcode CallRouterOptions}. */
  constructor(options: CallRouterOptions) {
    this.#options = options;
  }

  /**
   * Resolves a call under the configuration in force.
   *
   * @param query Properties of the call that determine its route.
   * @returns The route and pool, or a refusal.
   */
  find(query: RouteQuery): Result<ResolvedRoute, Refusal> {
    return this.#options
      .getRoutes()
      .find(query)
      .andThen((route) => this.#checkHomeRegions(route))
      .map((route) => ({ route, pool: this.#choosePool(route), version: this.#version }));
  }

  /**
   * Replaces a refusal if a peer has a newer version, which may permit the call. The replacement
   * does not attribute the refusal to a mistake of the caller.
   *
   * @param refusal A refusal under the configuration in force.
   * @returns The same refusal, or one with the reason {@linkcode RefusalReason.VersionsDiffer}.
   */
  replaceIfOutdated(refusal: Refusal): Refusal {
    const { newestKnown } = this.#options.versionTracker;
    if (!VERSION_DEPENDENT_REASONS.has(refusal.reason) || newestKnown <= this.#version)
      return refusal;
    const detail = `version ${this.#version} is in force here, a peer has ${newestKnown}: ${refusal.detail}`;
    return makeNotRunRefusal(RefusalReason.VersionsDiffer, detail);
  }

  /**
   * Waits for the newest version that a peer is known to have.
   *
   * @param leftMs Time until the deadline of the call, in milliseconds.
   * @returns Whether the version is in force here.
   */
  waitForNewestVersion(leftMs: number): Promise<boolean> {
    const { versionTracker } = this.#options;
    return versionTracker.waitFor(versionTracker.newestKnown, leftMs);
  }

  /**
   * Re-resolves a call if a newer version is in force.
   *
   * @param call The call, as resolved last.
   * @returns The same object if there is no newer version, the re-resolved call, or a refusal if
   * the newer version does not permit the call.
   */
  refresh(call: Call): Result<Call, Refusal> {
    if (call.version >= this.#version) return ok(call);
    const { route, method, pathAndQuery } = call;
    const { workspace } = route;
    const query = { workspace, host: '', method, path: pathOf(pathAndQuery) };
    return this.find(query)
      .map((resolved) => ({
        ...call,
        version: resolved.version,
        route: mergeNewerRoute(route, resolved.route),
        pool: servesRoute(resolved.route, call.pool) ? call.pool : resolved.pool,
      }))
      .mapErr((refusal) => this.replaceIfOutdated(refusal));
  }

  /**
   * Waits until the version under which a guard refused a call is in force here.
   *
   * @param version The version.
   * @param deadline The call's deadline.
   * @returns Whether the version is in force here.
   */
  waitForVersion(version: number, deadline: Deadline): Promise<boolean> {
    return this.#options.versionTracker.waitFor(version, deadline.leftMs);
  }

  /**
   * Lists daemons that may accept the calls of a route.
   *
   * @param route The route.
   * @returns Caller addresses of some daemons in the route's home regions.
   */
  addressesFor(route: Route): string[] {
    const { fleet, topology } = this.#options.getSnapshot();
    return fleet.instances
      .filter(({ failureDomain }) => topology.isInService(failureDomain))
      .filter(({ failureDomain }) => route.homeRegions.permits(topology.regionOf(failureDomain)))
      .map(({ callerAddress }) => callerAddress)
      .slice(0, MAX_ADDRESSES);
  }

  get #version(): number {
    return this.#options.getSnapshot().configurationVersion;
  }

  #checkHomeRegions(route: Route): Result<Route, Refusal> {
    if (this.#options.foreignEntry === ForeignEntryPolicy.Forward) return ok(route);
    const region = this.#options.getRegion();
    if (route.homeRegions.permits(region)) return ok(route);
    const addresses = this.addressesFor(route);
    const detail = `route "${route.name}" is bound to ${route.homeRegions.toString()}, got region ${region ?? 'unknown'}`;
    return err({ ...makeNotRunRefusal(RefusalReason.OutsideHomeRegions, detail), addresses });
  }

  #choosePool({ pools }: Route): string {
    if (pools.length <= 1) return pools[0]?.pool ?? '';
    const total = pools.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = (this.#options.random.below(SHARE_STEPS) / SHARE_STEPS) * total;
    for (const { pool, weight } of pools) {
      remaining -= weight;
      if (remaining < 0) return pool;
    }
    return pools[0]?.pool ?? '';
  }
}

/**
 * Removes the query.
 *
 * @param pathAndQuery Path and query of a call.
 * @returns The path.
 */
export function pathOf(pathAndQuery: string): string {
  return pathAndQuery.split('?', 1)[0] ?? '';
}

function servesRoute({ pools }: Route, pool: string): boolean {
  return pools.some((share) => share.pool === pool && share.weight > 0);
}
