import { err, ok, type Result } from 'neverthrow';
import { Either, Left, Right } from 'purify-ts';
import {
  Repeatability,
  RouteTable,
  type Pool,
  type PoolShare,
  type Route,
  type Workspace,
} from '../contract/mod.ts';
import { Topology, HomeRegions } from '../failure_domain/mod.ts';
import {
  JsoncDocument,
  checkDocument,
  compareFindings,
  makeFinding,
  suggestName,
  type Finding,
} from '../finding/mod.ts';
import {
  configurationSchema,
  configurationNamesSchema,
  type ConfigurationDocument,
  type ConfigurationNames,
} from './configuration_schema.ts';

/** One accepted version of the operators' configuration. */
export class Configuration {
  readonly version: number;
  /** The document it was built from. */
  readonly document: ConfigurationDocument;
  readonly topology: Topology;
  readonly routes: RouteTable;
  /** Timeouts of callers' connections. */
  readonly callerTimeouts: ConfigurationDocument['callers'];
  readonly #pools = new Map<string, Pool>();

  private constructor(document: ConfigurationDocument) {
    this.version = document.version;
    this.document = document;
    this.topology = new Topology(document.failureDomains);
    const workspaces = document.workspaces.map(toWorkspace);
    const routes = document.routes.map((route) => toRoute(route, workspaces));
    this.routes = new RouteTable(workspaces, routes);
    this.callerTimeouts = document.callers;
    for (const pool of document.pools) this.#pools.set(pool.name, toPool(pool));
  }

  /**
   * Validates a configuration document, references between its parts included.
   *
   * @param source The document.
   * @returns The configuration, or all findings in the order of their locations.
   */
  static parse(source: JsoncDocument): Result<Configuration, Finding[]> {
    const checked = checkDocument(source, configurationSchema);
    const names = configurationNamesSchema.safeParse(source.value);
    const findings = [
      ...(checked.isErr() ? checked.error : []),
      ...(names.success ? checkReferences(source, names.data) : []),
    ];
    if (checked.isErr() || findings.length > 0) return err(findings.sort(compareFindings));
    return ok(new Configuration(checked.value.value));
  }

  /**
   * Finds a pool by its name.
   *
   * @param name Name of a pool.
   * @returns The pool, or `undefined` if the configuration has none of that name.
   */
  findPool(name: string): Pool | undefined {
    return this.#pools.get(name);
  }
}

type CheckResult = Either<Finding, void>;
type PoolDocument = ConfigurationDocument['pools'][number];
type RouteDocument = ConfigurationDocument['routes'][number];
type WorkspaceDocument = ConfigurationDocument['workspaces'][number];

function toWorkspace(document: WorkspaceDocument): Workspace {
  return { ...document, homeRegions: HomeRegions.of(document.homeRegions) };
}

function toPool({ coldPerSecond, healthPath, ...rest }: PoolDocument): Pool {
  return { ...rest, coldPerSecond, healthPath };
}

function toRoute(document: RouteDocument, workspaces: readonly Workspace[]): Route {
  const workspace = workspaces.find((each) => each.name === document.workspace);
  const routeRegions = HomeRegions.of(document.homeRegions);
  return {
    ...document,
    methods: document.methods,
    pools: toPoolShares(document),
    objectiveMs: document.objectiveMs ?? document.timeoutMs,
    repeatability: toRepeatability(document),
    homeRegions: routeRegions.intersect(workspace?.homeRegions ?? HomeRegions.ANYWHERE),
  };
}

function toRepeatability({ idempotent, issuedKeys }: RouteDocument): Repeatability {
  if (idempotent) return Repeatability.Idempotent;
  return issuedKeys ? Repeatability.NonIdempotent : Repeatability.Keyless;
}

function toPoolShares({ pool, pools }: RouteDocument): PoolShare[] {
  return pools ?? (pool === undefined ? [] : [{ pool, weight: 1 }]);
}

function checkReferences(source: JsoncDocument, document: ConfigurationNames): Finding[] {
  return Either.lefts([
    ...checkUnique(source, 'failureDomains', document.failureDomains),
    ...checkUnique(source, 'workspaces', document.workspaces),
    ...checkUnique(source, 'pools', document.pools),
    ...checkUnique(source, 'routes', document.routes),
    ...checkWorkspaces(source, document),
    ...checkPools(source, document),
    ...checkRoutes(source, document),
  ]);
}

function checkUnique(
  source: JsoncDocument,
  section: string,
  items: readonly { name: string; workspace?: string }[],
): CheckResult[] {
  const seen = new Set<string>();
  return items.map(({ name, workspace }, index) => {
    const key = `${workspace ?? ''}/${name}`;
    const isNew = !seen.has(key);
    seen.add(key);
    return ensure(isNew, () =>
      makeFinding(source, [section, index, 'name'], `expected unique names, got "${name}" again`),
    );
  });
}

function checkWorkspaces(source: JsoncDocument, document: ConfigurationNames): CheckResult[] {
  const regions = document.failureDomains.map((domain) => domain.region);
  return document.workspaces.flatMap((workspace, index) =>
    checkRegions(source, ['workspaces', index], { got: workspace.homeRegions, regions }),
  );
}

function checkPools(source: JsoncDocument, document: ConfigurationNames): CheckResult[] {
  return document.pools.map((pool, index) =>
    ensure(pool.coldSlots <= pool.slots, () =>
      makeFinding(
        source,
        ['pools', index, 'coldSlots'],
        `expected at most slots (${pool.slots}), got ${pool.coldSlots}`,
      ),
    ),
  );
}

function checkRoutes(source: JsoncDocument, document: ConfigurationNames): CheckResult[] {
  const pools = document.pools.map((pool) => pool.name);
  const workspaces = document.workspaces.map((workspace) => workspace.name);
  const regions = document.failureDomains.map((domain) => domain.region);
  return document.routes.flatMap((route, index) => [
    ...checkPoolNames(source, index, { route, known: pools }),
    checkName(source, ['routes', index, 'workspace'], { got: route.workspace, known: workspaces }),
    ...checkRegions(source, ['routes', index], { got: route.homeRegions, regions }),
    checkHomeRegions(source, index, document),
  ]);
}

interface PoolNamesCheck {
  route: ConfigurationNames['routes'][number];
  known: readonly string[];
}

function checkPoolNames(
  source: JsoncDocument,
  index: number,
  { route, known }: PoolNamesCheck,
): CheckResult[] {
  const { pool, pools } = route;
  const path = ['routes', index];
  if ((pool === undefined) === (pools === undefined)) {
    const problem = 'expected either "pool" or "pools"';
    return [ensure(false, () => makeFinding(source, path, problem))];
  }
  if (pool !== undefined) return [checkName(source, [...path, 'pool'], { got: pool, known })];
  return (pools ?? []).map((share, shareIndex) =>
    checkName(source, [...path, 'pools', shareIndex, 'pool'], { got: share.pool, known }),
  );
}

function checkHomeRegions(
  source: JsoncDocument,
  index: number,
  document: ConfigurationNames,
): CheckResult {
  const route = document.routes[index];
  if (!route) return Right(undefined);
  const workspace = document.workspaces.find(({ name }) => name === route.workspace);
  const homeRegions = HomeRegions.of(route.homeRegions).intersect(
    HomeRegions.of(workspace?.homeRegions),
  );
  return ensure(!homeRegions.isEmpty, () =>
    makeFinding(
      source,
      ['routes', index, 'homeRegions'],
      `expected a region that workspace "${route.workspace}" permits too, got ${JSON.stringify(route.homeRegions)}`,
    ),
  );
}

interface RegionCheck {
  got: readonly string[] | undefined;
  regions: readonly string[];
}

function checkRegions(
  source: JsoncDocument,
  owner: (string | number)[],
  { got, regions }: RegionCheck,
): CheckResult[] {
  return (got ?? []).map((region, index) =>
    checkName(source, [...owner, 'homeRegions', index], { got: region, known: regions }),
  );
}

interface NameCheck {
  got: string;
  known: readonly string[];
}

function checkName(
  source: JsoncDocument,
  path: (string | number)[],
  { got, known }: NameCheck,
): CheckResult {
  return ensure(known.includes(got), () =>
    makeFinding(source, path, `unknown name "${got}"${suggestName(got, known)}`),
  );
}

function ensure(holds: boolean, finding: () => Finding): CheckResult {
  return holds ? Right(undefined) : Left(finding());
}
