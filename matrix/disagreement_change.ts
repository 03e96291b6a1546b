import type { ConfigurationDocument } from '../configuration/mod.ts';
import { makeExampleConfiguration, type ClusterCall } from '../fakes/mod.ts';
import type { Instance } from '../instance/mod.ts';

/** Whether the call of a disagreement case may be executed again, and who issued its key. */
export enum DisagreementCallType {
  Idempotent = 'idempotent',
  /** Runs at most once, and its caller cannot ask again. */
  Keyless = 'keyless',
  /** Under a key that its entry has issued. */
  Keyed = 'keyed',
  /** Under a key that a daemon of the other side has issued. */
  KeyedElsewhere = 'keyed-elsewhere',
}

/** A change that one daemon has learned of and another has not. */
export enum VersionChange {
  RouteAdded = 'route-added',
  RouteDropped = 'route-dropped',
  RouteMoved = 'route-moved',
  /** The route's calls are idempotent in one version and run at most once in the other. */
  RepeatabilityChanged = 'kind-changed',
  /** Only the entry's own region remains a home region. */
  HomeRegionsNarrowed = 'homes-narrowed',
  /** Only the other region remains a home region. */
  HomeRegionsMoved = 'homes-moved',
  PriorityChanged = 'priority-changed',
  TimeoutShortened = 'timeout-shortened',
  /** Nearly all calls go to one of two pools, and after the change to the other. */
  SharesChanged = 'shares-changed',
  /** The pool that gets nearly all calls no longer serves the route. */
  ShareDropped = 'share-dropped',
  /** The pool is gone, and its routes have moved. */
  PoolDropped = 'pool-dropped',
  /** The failure domain of the nearest guard is taken out. */
  DomainOut = 'domain-out',
  /** The failure domain of the nearest guard is put back in. */
  DomainIn = 'domain-in',
  /** The instance list names instances at the same addresses under another pool. */
  TargetRelisted = 'target-relisted',
  /** The instance list names other instances of another pool at the same addresses. */
  TargetReplaced = 'target-replaced',
  /** One side has no configuration yet. */
  JustStarted = 'just-started',
  /** The nearest target's daemon has no configuration yet. */
  NearestStarted = 'nearest-started',
  /** One side gets versions from the other only; the route has moved. */
  CutOff = 'cut-off',
}

/** Two versions of the configuration. */
export interface VersionPair {
  before: ConfigurationDocument;
  after: ConfigurationDocument;
}

type RouteDocument = ConfigurationDocument['routes'][number];

/** Pool of the daemon that callers use; no route of it is called. */
export const ENTRY_POOL = 'front';
/** Failure domain of the nearest guard, which is taken out or put back in. */
const MOVED_DOMAIN = 'centro-a';
const ENTRY_REGION = 'ar-centro';
const OTHER_REGION = 'ar-norte';
/** Less than the call's deadline, in milliseconds. */
const SHORT_TIMEOUT_MS = 1_200;
/** Domains whose entries in the instance list change; one in each region. */
const RELISTED_DOMAINS = ['centro-a', 'norte-a'];
const TOTAL_SHARE = 1_000;
/** Share of a pool that gets nearly all calls. */
const MOST = TOTAL_SHARE - 1;
/** Weight of a route whose priority has changed; 1 is the default. */
const CHANGED_WEIGHT = 5;

/**
 * @param type A kind of call.
 * @returns Name of its route.
 */
export function routeNameOf(type: DisagreementCallType): string {
  if (type === DisagreementCallType.Idempotent) return 'read-board';
  if (type === DisagreementCallType.Keyless) return 'post-entry';
  return 'post-result';
}

/**
 * @param type A kind of call.
 * @returns Name of the pool that serves it before a change.
 */
export function poolOf(type: DisagreementCallType): string {
  return type === DisagreementCallType.Idempotent ? 'boards' : 'results';
}

/**
 * @param type A kind of call.
 * @returns Its request.
 */
export function requestOf(
  type: DisagreementCallType,
): Pick<ClusterCall, 'method' | 'pathAndQuery' | 'body'> {
  if (type === DisagreementCallType.Idempotent) return { pathAndQuery: '/boards/3' };
  const target = type === DisagreementCallType.Keyless ? '/entries' : '/results';
  return { method: 'POST', pathAndQuery: target, body: '1-0' };
}

/**
 * @param change A change.
 * @param type Kind of the call that it concerns.
 * @returns The versions before and after it.
 */
export function makeVersions(change: VersionChange, type: DisagreementCallType): VersionPair {
  const before = withFront(makeExampleConfiguration());
  const after = withFront(makeExampleConfiguration({ version: 2 }));
  const name = routeNameOf(type);
  const edit = (document: ConfigurationDocument, how: (route: RouteDocument) => RouteDocument) =>
    editRoutes(document, (route) => (route.name === name ? how(route) : route));
  const own = poolOf(type);
  const other = otherPoolOf(own);
  const split = (share: number) => (route: RouteDocument) =>
    withShares(route, [
      { pool: own, weight: share },
      { pool: other, weight: TOTAL_SHARE - share },
    ]);
  switch (change) {
    case VersionChange.RouteAdded:
      return { before: dropRoute(before, name), after };
    case VersionChange.RouteDropped:
      return { before, after: dropRoute(after, name) };
    case VersionChange.RouteMoved:
    case VersionChange.CutOff:
      return { before, after: edit(after, (route) => withPool(route, other)) };
    case VersionChange.RepeatabilityChanged:
      return { before, after: edit(after, withOtherRepeatability) };
    case VersionChange.HomeRegionsNarrowed:
      return { before, after: edit(after, withHomes(ENTRY_REGION)) };
    case VersionChange.HomeRegionsMoved:
      return { before, after: edit(after, withHomes(OTHER_REGION)) };
    case VersionChange.PriorityChanged:
      return { before, after: edit(after, (route) => ({ ...route, weight: CHANGED_WEIGHT })) };
    case VersionChange.TimeoutShortened:
      return {
        before,
        after: edit(after, (route) => ({ ...route, timeoutMs: SHORT_TIMEOUT_MS })),
      };
    case VersionChange.SharesChanged:
      return { before: edit(before, split(MOST)), after: edit(after, split(TOTAL_SHARE - MOST)) };
    case VersionChange.ShareDropped:
      return {
        before: edit(before, split(MOST)),
        after: edit(after, (route) => withPool(route, other)),
      };
    case VersionChange.PoolDropped:
      return { before, after: dropPool(after, own) };
    case VersionChange.DomainOut:
      return {
        before,
        after: withFront(makeExampleConfiguration({ version: 2, outDomains: [MOVED_DOMAIN] })),
      };
    case VersionChange.DomainIn:
      return { before: withFront(makeExampleConfiguration({ outDomains: [MOVED_DOMAIN] })), after };
    case VersionChange.TargetRelisted:
    case VersionChange.TargetReplaced:
    case VersionChange.JustStarted:
    case VersionChange.NearestStarted:
      return { before, after: before };
  }
}

/**
 * @param change A change.
 * @param instances The instances that there are.
 * @returns The instances that the list names after it, if it changes the list.
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

function withFront(document: ConfigurationDocument): ConfigurationDocument {
  const [first] = document.pools;
  return first
    ? { ...document, pools: [...document.pools, { ...first, name: ENTRY_POOL }] }
    : document;
}

function editRoutes(
  document: ConfigurationDocument,
  how: (route: RouteDocument) => RouteDocument,
): ConfigurationDocument {
  return { ...document, routes: document.routes.map(how) };
}

function dropRoute(document: ConfigurationDocument, name: string): ConfigurationDocument {
  return { ...document, routes: document.routes.filter((route) => route.name !== name) };
}

function dropPool(document: ConfigurationDocument, dropped: string): ConfigurationDocument {
  const other = otherPoolOf(dropped);
  const moved = editRoutes(document, (route) =>
    route.pool === dropped ? withPool(route, other) : route,
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

function withHomes(region: string): (route: RouteDocument) => RouteDocument {
  return (route) => ({ ...route, homeRegions: [region] });
}

function withOtherRepeatability(route: RouteDocument): RouteDocument {
  return { ...route, idempotent: !route.idempotent, issuedKeys: false };
}
