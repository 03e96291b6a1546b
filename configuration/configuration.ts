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
  /** Bounds of callers' connections. */
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
   * Checks a document as a whole.
   *
   * @param source The document.
   * @returns The configuration, or every finding.
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
   * @param name Name of a pool.
   * @returns The pool, if there is one.
   */
  findPool(name: string): Pool | undefined {
    return this.#pools.get(name);
  }
}

type Check = Either<Finding, void>;
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
  const own = HomeRegions.of(document.homeRegions);
  return {
    ...document,
    methods: document.methods,
    pools: sharesOf(document),
    objectiveMs: document.objectiveMs ?? document.timeoutMs,
    repeatability: repeatabilityOf(document),
    homeRegions: own.intersect(workspace?.homeRegions ?? HomeRegions.ANYWHERE),
  };
}

function repeatabilityOf({ idempotent, issuedKeys }: RouteDocument): Repeatability {
  if (idempotent) return Repeatability.Idempotent;
  return issuedKeys ? Repeatability.NonIdempotent : Repeatability.Keyless;
}

function sharesOf({ pool, pools }: RouteDocument): PoolShare[] {
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
): Check[] {
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

function checkWorkspaces(source: JsoncDocument, document: ConfigurationNames): Check[] {
  const regions = document.failureDomains.map((domain) => domain.region);
  return document.workspaces.flatMap((workspace, index) =>
    checkRegions(source, ['workspaces', index], { got: workspace.homeRegions, regions }),
  );
}

function checkPools(source: JsoncDocument, document: ConfigurationNames): Check[] {
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

function checkRoutes(source: JsoncDocument, document: ConfigurationNames): Check[] {
  const pools = document.pools.map((pool) => pool.name);
  const workspaces = document.workspaces.map((workspace) => workspace.name);
  const regions = document.failureDomains.map((domain) => domain.region);
  return document.routes.flatMap((route, index) => [
    ...checkPoolNames(source, index, { route, known: pools }),
    checkName(source, ['routes', index, 'workspace'], { got: route.workspace, known: workspaces }),
    ...checkRegions(source, ['routes', index], { got: route.homeRegions, regions }),
    checkHome(source, index, document),
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
): Check[] {
  const { pool, pools } = route;
  const path = ['routes', index];
  if ((pool === undefined) === (pools === undefined)) {
    const problem = 'expected either "pool" or "pools"';
    return [ensure(false, () => makeFinding(source, path, problem))];
  }
  if (pool !== undefined) return [checkName(source, [...path, 'pool'], { got: pool, known })];
  return (pools ?? []).map((share, at) =>
    checkName(source, [...path, 'pools', at, 'pool'], { got: share.pool, known }),
  );
}

function checkHome(source: JsoncDocument, index: number, document: ConfigurationNames): Check {
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
): Check[] {
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
): Check {
  return ensure(known.includes(got), () =>
    makeFinding(source, path, `unknown name "${got}"${suggestName(got, known)}`),
  );
}

function ensure(holds: boolean, finding: () => Finding): Check {
  return holds ? Right(undefined) : Left(finding());
}
