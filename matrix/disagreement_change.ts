import type { ConfigurationDocument } from '../configuration/mod.ts';
import { makeExampleConfiguration, type ClusterCall } from '../fakes/mod.ts';
import type { Instance } from '../instance/mod.ts';

/** Kind of call, by whether it may be executed again and which daemon issued its key. */
export enum DisagreementCallType {
  Idempotent = 'idempotent',
  /** Non-idempotent without a key: it runs at most once, and its caller cannot resend it. */
  Keyless = 'keyless',
  /** With a key that its entry has issued. */
  Keyed = 'keyed',
  /** With a key that a daemon among the guards has issued. */
  KeyedElsewhere = 'keyed-elsewhere',
}

/** A change that one daemon has learned of and another has not. */
export enum VersionChange {
  RouteAdded = 'route-added',
  RouteDropped = 'route-dropped',
  RouteMoved = 'route-moved',
  /** Calls of the route are idempotent in one version and run at most once in the other. */
  RepeatabilityChanged = 'kind-changed',
  /** Only the entry's own region remains a home region. */
  HomeRegionsNarrowed = 'homes-narrowed',
  /** Only the other region remains a home region. */
  HomeRegionsMoved = 'homes-moved',
  PriorityChanged = 'priority-changed',
  TimeoutShortened = 'timeout-shortened',
  /** Nearly all calls go to one of two pools before the change, and to the other after it. */
  SharesChanged = 'shares-changed',
  /** The pool that gets nearly all calls no longer serves the route. */
  ShareDropped = 'share-dropped',
  /** The pool is removed, and its routes use another pool. */
  PoolDropped = 'pool-dropped',
  /** The failure domain of the nearest guard is taken out of service. */
  DomainOut = 'domain-out',
  /** The failure domain of the nearest guard is put back into service. */
  DomainIn = 'domain-in',
  /** The instance list names instances at the same addresses under another pool. */
  TargetRelisted = 'target-relisted',
  /** The instance list names other instances of another pool at the same addresses. */
  TargetReplaced = 'target-replaced',
  /** One side has no configuration yet. */
  JustStarted = 'just-started',
  /** The nearest target's daemon has no configuration yet. */
  NearestStarted = 'nearest-started',
  /** One side gets versions only from the other side; the route uses another pool. */
  CutOff = 'cut-off',
}

/** The versions of the configuration before and after a change. */
export interface VersionPair {
  before: ConfigurationDocument;
  after: ConfigurationDocument;
}

type RouteDocument = ConfigurationDocument['routes'][number];

/** Pool of the entry; no route leads to it. */
export const ENTRY_POOL = 'front';
/** Failure domain of the nearest guard, which is taken out of service or put back. */
const MOVED_DOMAIN = 'centro-a';
const ENTRY_REGION = 'ar-centro';
const OTHER_REGION = 'ar-norte';
/** Timeout of the route that is shorter than the deadline of the call, in milliseconds. */
const SHORT_TIMEOUT_MS = 1_200;
/** Failure domains whose instances change in the instance list; one in each region. */
const RELISTED_DOMAINS = ['centro-a', 'norte-a'];
const TOTAL_SHARE = 1_000;
/** Weight of a pool that gets nearly all calls. */
const LARGE_SHARE = TOTAL_SHARE - 1;
/** Weight of a route whose priority has changed; 1 is the default. */
const CHANGED_WEIGHT = 5;

/**
 * Returns the route of a kind of call.
 *
 * @param type A kind of call.
 * @returns Name of its route.
 */
export function routeNameOf(type: DisagreementCallType): string {
  if (type === DisagreementCallType.Idempotent) return 'read-board';
  if (type === DisagreementCallType.Keyless) return 'post-entry';
  return 'post-result';
}

/**
 * Returns the pool of a kind of call.
 *
 * @param type A kind of call.
 * @returns Name of the pool that serves it before a change.
 */
export function poolOf(type: DisagreementCallType): string {
  return type === DisagreementCallType.Idempotent ? 'boards' : 'results';
}

/**
 * Makes the request of a kind of call.
 *
 * @param type A kind of call.
 * @returns Its request.
 */
export function requestOf(
  type: DisagreementCallType,
): Pick<ClusterCall, 'method' | 'pathAndQuery' | 'body'> {
  if (type === DisagreementCallType.Idempotent) return { pathAndQuery: '/boards/3' };
  const pathAndQuery = type === DisagreementCallType.Keyless ? '/entries' : '/results';
  return { method: 'POST', pathAndQuery, body: '1-0' };
}

/**
 * Makes the versions of the configuration that differ by a change.
 *
 * @param change A change.
 * @param type Kind of call that it concerns.
 * @returns The versions before and after it.
 */
export function makeVersions(change: VersionChange, type: DisagreementCallType): VersionPair {
  const before = withEntryPool(makeExampleConfiguration());
  const after = withEntryPool(makeExampleConfiguration({ version: 2 }));
  const name = routeNameOf(type);
  const edit = (document: ConfigurationDocument, update: (route: RouteDocument) => RouteDocument) =>
    editRoutes(document, (route) => (route.name === name ? update(route) : route));
  const ownPool = poolOf(type);
  const otherPool = otherPoolOf(ownPool);
  const split = (share: number) => (route: RouteDocument) =>
    withShares(route, [
      { pool: ownPool, weight: share },
      { pool: otherPool, weight: TOTAL_SHARE - share },
    ]);
  switch (change) {
    case VersionChange.RouteAdded:
      return { before: dropRoute(before, name), after };
    case VersionChange.RouteDropped:
      return { before, after: dropRoute(after, name) };
    case VersionChange.RouteMoved:
    case VersionChange.CutOff:
      return { before, after: edit(after, (route) => withPool(route, otherPool)) };
    case VersionChange.RepeatabilityChanged:
      return { before, after: edit(after, withOtherRepeatability) };
    case VersionChange.HomeRegionsNarrowed:
      return { before, after: edit(after, withHomeRegion(ENTRY_REGION)) };
    case VersionChange.HomeRegionsMoved:
      return { before, after: edit(after, withHomeRegion(OTHER_REGION)) };
    case VersionChange.PriorityChanged:
      return { before, after: edit(after, (route) => ({ ...route, weight: CHANGED_WEIGHT })) };
    case VersionChange.TimeoutShortened:
      return {
        before,
        after: edit(after, (route) => ({ ...route, timeoutMs: SHORT_TIMEOUT_MS })),
      };
    case VersionChange.SharesChanged:
      return {
        before: edit(before, split(LARGE_SHARE)),
        after: edit(after, split(TOTAL_SHARE - LARGE_SHARE)),
      };
    case VersionChange.ShareDropped:
      return {
        before: edit(before, split(LARGE_SHARE)),
        after: edit(after, (route) => withPool(route, otherPool)),
      };
    case VersionChange.PoolDropped:
      return { before, after: dropPool(after, ownPool) };
    case VersionChange.DomainOut:
      return {
        before,
        after: withEntryPool(makeExampleConfiguration({ version: 2, outDomains: [MOVED_DOMAIN] })),
      };
    case VersionChange.DomainIn:
      return {
        before: withEntryPool(makeExampleConfiguration({ outDomains: [MOVED_DOMAIN] })),
        after,
      };
    case VersionChange.TargetRelisted:
    case VersionChange.TargetReplaced:
    case VersionChange.JustStarted:
    case VersionChange.NearestStarted:
      return { before, after: before };
  }
}

/**
 * Applies a change to the instance list.
 *
 * @param change A change.
 * @param instances The instance list before it.
 * @returns The instance list after it; undefined if it does not change the list.
 */
export function changeInstances(
  change: VersionChange,
  instances: readonly Instance[],
): Instance[] | undefined {
  if (change !== VersionChange.TargetRelisted && change !== VersionChange.TargetReplaced)
    return undefined;
  const isReplaced = change === VersionChange.TargetReplaced;
  return instances.map((instance) => {
    const { id, pool, failureDomain } = instance;
    if (!RELISTED_DOMAINS.includes(failureDomain)) return instance;
    const targetId = `${id}/2`;
    return { ...instance, id: isReplaced ? `${id}-2` : id, targetId, pool: otherPoolOf(pool) };
  });
}

function otherPoolOf(pool: string): string {
  return pool === 'boards' ? 'results' : 'boards';
}

function withEntryPool(document: ConfigurationDocument): ConfigurationDocument {
  const [first] = document.pools;
  return first
    ? { ...document, pools: [...document.pools, { ...first, name: ENTRY_POOL }] }
    : document;
}

function editRoutes(
  document: ConfigurationDocument,
  update: (route: RouteDocument) => RouteDocument,
): ConfigurationDocument {
  return { ...document, routes: document.routes.map(update) };
}

function dropRoute(document: ConfigurationDocument, name: string): ConfigurationDocument {
  return { ...document, routes: document.routes.filter((route) => route.name !== name) };
}

function dropPool(document: ConfigurationDocument, dropped: string): ConfigurationDocument {
  const otherPool = otherPoolOf(dropped);
  const moved = editRoutes(document, (route) =>
    route.pool === dropped ? withPool(route, otherPool) : route,
  );
  return { ...moved, pools: moved.pools.filter(({ name }) => name !== dropped) };
}

function withPool(route: RouteDocument, pool: string): RouteDocument {
  return { ...route, pool };
}

function withShares(
  route: RouteDocument,
  pools: NonNullable<RouteDocument['pools']>,
): RouteDocument {
  return { ...route, pool: undefined, pools };
}

function withHomeRegion(region: string): (route: RouteDocument) => RouteDocument {
  return (route) => ({ ...route, homeRegions: [region] });
}

function withOtherRepeatability(route: RouteDocument): RouteDocument {
  return { ...route, idempotent: !route.idempotent, issuedKeys: false };
}
