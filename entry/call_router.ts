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

/** Steps in which the shares of a route's pools are drawn. */
const SHARE_STEPS = 1_000_000;
/** Addresses that a refusal names at most. */
const MAX_ADDRESSES = 4;

/** Refusals of calls that another version of the configuration may permit. */
const DECIDED_BY_VERSION: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.UnknownWorkspace,
  RefusalReason.UnknownRoute,
  RefusalReason.OutsideHomeRegions,
  RefusalReason.BodyTooLarge,
  RefusalReason.KeyRequired,
]);

/** What an entry outside a call's home regions does with it. */
export enum ForeignEntryPolicy {
  /** Refuses it and names daemons inside; nothing of the call leaves the entry. */
  Refuse = 'refuse',
  /** Sends it into the home regions, since its caller can reach no other entry. */
  Forward = 'forward',
}

/** Where a call belongs by one version of the configuration. */
export interface ResolvedRoute {
  route: Route;
  /** The one of the route's pools that is to run the call. */
  pool: string;
  version: number;
}

/** What a {@linkcode CallRouter} needs. */
export interface CallRouterOptions {
  random: RandomSource;
  foreignEntry: ForeignEntryPolicy;
  /** Region that the daemon stands in. */
  getRegion: () => string | undefined;
  getRoutes: () => RouteTable;
  getSnapshot: () => ClusterSnapshot;
  progress: VersionTracker;
}

/** Tells where calls belong by the rules in force, and again when newer rules come into force. */
export class CallRouter {
  readonly #options: CallRouterOptions;

  /** @param options See {@linkcode CallRouterOptions}. */
  constructor(options: CallRouterOptions) {
    this.#options = options;
  }

  /**
   * @param query What a call says about where it belongs.
   * @returns Where it belongs by the rules in force, or a refusal.
   */
  find(query: RouteQuery): Result<ResolvedRoute, Refusal> {
    return this.#options
      .getRoutes()
      .find(query)
      .andThen((route) => this.#checkHome(route))
      .map((route) => ({ route, pool: this.#choosePool(route), version: this.#version }));
  }

  /**
   * @param refusal A refusal by the rules in force.
   * @returns The same, or one that blames no caller if a peer has a newer version, which may permit the call.
   */
  replaceIfOutdated(refusal: Refusal): Refusal {
    const { newestKnown: heard } = this.#options.progress;
    if (!DECIDED_BY_VERSION.has(refusal.reason) || heard <= this.#version) return refusal;
    const detail = `version ${this.#version} is in force here, a peer has ${heard}: ${refusal.detail}`;
    return makeNotRunRefusal(RefusalReason.VersionsDiffer, detail);
  }

  /**
   * Waits for the newest version that a peer has.
   *
   * @param leftMs Milliseconds that the caller waits, at most.
   * @returns Whether it is in force here.
   */
  waitForNewestVersion(leftMs: number): Promise<boolean> {
    const { progress } = this.#options;
    return progress.waitFor(progress.newestKnown, leftMs);
  }

  /**
   * Brings a call under way to the rules in force.
   *
   * @param call The call, as it was decided last.
   * @returns The same call if no newer rules are in force, the call under the newer ones, or a
   * refusal if they do not permit it.
   */
  refresh(call: Call): Result<Call, Refusal> {
    if (call.version >= this.#version) return ok(call);
    const { route, method, pathAndQuery: target } = call;
    const { workspace } = route;
    const query = { workspace, host: '', method, path: pathOf(target) };
    return this.find(query)
      .map((routing) => ({
        ...call,
        version: routing.version,
        route: mergeNewerRoute(route, routing.route),
        pool: serves(routing.route, call.pool) ? call.pool : routing.pool,
      }))
      .mapErr((refusal) => this.replaceIfOutdated(refusal));
  }

  /**
   * Waits until a version is in force here that a guard has refused by.
   *
   * @param version The version.
   * @param deadline The call's deadline.
   * @returns Whether it is.
   */
  waitForVersion(version: number, deadline: Deadline): Promise<boolean> {
    return this.#options.progress.waitFor(version, deadline.leftMs);
  }

  /**
   * @param route A route.
   * @returns Addresses of daemons in its home regions.
   */
  addressesFor(route: Route): string[] {
    const { fleet, topology: geography } = this.#options.getSnapshot();
    return fleet.instances
      .filter(({ failureDomain }) => geography.isInService(failureDomain))
      .filter(({ failureDomain }) => route.homeRegions.permits(geography.regionOf(failureDomain)))
      .map(({ callerAddress }) => callerAddress)
      .slice(0, MAX_ADDRESSES);
  }

  get #version(): number {
    return this.#options.getSnapshot().configurationVersion;
  }

  #checkHome(route: Route): Result<Route, Refusal> {
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
    let left = (this.#options.random.below(SHARE_STEPS) / SHARE_STEPS) * total;
    for (const { pool, weight } of pools) {
      left -= weight;
      if (left < 0) return pool;
    }
    return pools[0]?.pool ?? '';
  }
}

/**
 * @param target Path and query of a call.
 * @returns The path.
 */
export function pathOf(target: string): string {
  return target.split('?', 1)[0] ?? '';
}

function serves({ pools }: Route, pool: string): boolean {
  return pools.some((share) => share.pool === pool && share.weight > 0);
}
