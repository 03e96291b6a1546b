import {
  RefusalReason,
  Repeatability,
  RouteTable,
  makeNotRunRefusal,
  runsAtMostOnce,
  type Attempt,
  type RoutingRules,
  type Refusal,
} from '../contract/mod.ts';
import type { ClusterSnapshot } from '../entry/mod.ts';
import { Topology } from '../failure_domain/mod.ts';
import { Fleet, InstanceStage } from '../instance/mod.ts';
import {
  DocumentKind,
  DocumentStore,
  VersionTracker,
  type Configuration,
} from '../configuration/mod.ts';
import type { Settings } from '../settings/mod.ts';
import { AdmissionPhase } from '../guard/mod.ts';
import type { TimerService } from '../timer/mod.ts';

const NO_ROUTES = new RouteTable([], []);
const NO_GEOGRAPHY = new Topology([]);

/** Changes of the world that the daemon acts on. */
export interface ClusterViewOptions {
  timer: TimerService;
  instance: Settings['instance'];
  /** Called when this instance's failure domain was taken out. */
  onDomainOut: () => void;
  /** Called when it was put back into service. */
  onDomainIn: () => void;
  /** Called with each configuration and instance list that comes into force. */
  onChange: () => void;
}

/** The configuration and instance list in force, and what they permit this daemon. */
export class ClusterView {
  readonly store: DocumentStore;
  /** Versions of the configuration that have come into force here, or that peers have. */
  readonly versionTracker: VersionTracker;
  /** Where the daemon stands in its life. */
  stage = InstanceStage.Starting;
  /** Whether a daemon that leaves still takes calls, so that callers can turn away. */
  isLameDuck = false;
  readonly #options: ClusterViewOptions;
  #configuration: Configuration | undefined;
  #fleet = new Fleet(0, []);
  #wasIn = true;
  #wasListed = false;

  /** @param options See {@linkcode ClusterViewOptions}. */
  constructor(options: ClusterViewOptions) {
    this.#options = options;
    this.versionTracker = new VersionTracker(options.timer);
    this.store = new DocumentStore({
      onConfiguration: (configuration) => {
        this.#apply(configuration);
      },
      onFleet: (fleet) => {
        this.#fleet = fleet;
        this.#wasListed ||= fleet.find(options.instance.id) !== undefined;
        options.onChange();
      },
    });
  }

  /** @returns The configuration in force, if any. */
  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  /** @returns The instance list in force. */
  get fleet(): Fleet {
    return this.#fleet;
  }

  /** @returns Version of the configuration in force; zero if there is none. */
  get version(): number {
    return this.store.versionOf(DocumentKind.Configuration);
  }

  /** @returns Whether both documents are there. */
  get hasBothDocuments(): boolean {
    return this.#configuration !== undefined && this.#fleet.version > 0;
  }

  /** @returns Whether the daemon is leaving. */
  get isLeaving(): boolean {
    return this.stage === InstanceStage.Leaving;
  }

  /** @returns Region of this instance, if the configuration names its failure domain. */
  get region(): string | undefined {
    return this.#configuration?.topology.regionOf(this.#options.instance.failureDomain);
  }

  /** @returns Whether this instance's failure domain is in service. */
  get isDomainIn(): boolean {
    return this.#configuration?.topology.isInService(this.#options.instance.failureDomain) ?? false;
  }

  /** @returns The routes in force. */
  get routes(): RouteTable {
    return this.#configuration?.routes ?? NO_ROUTES;
  }

  /** @returns The world as decisions see it now. */
  get snapshot(): ClusterSnapshot {
    const configuration = this.#configuration;
    return {
      fleet: this.#fleet,
      topology: configuration?.topology ?? NO_GEOGRAPHY,
      configurationVersion: configuration?.version ?? 0,
      findPool: (name) => configuration?.findPool(name),
    };
  }

  /** @returns Why the daemon accepts no calls now, if so. */
  checkCall(): Refusal | undefined {
    if (this.stage === InstanceStage.Live || this.isLameDuck) return undefined;
    if (this.isLeaving) return makeNotRunRefusal(RefusalReason.Leaving, 'the daemon is leaving');
    return makeNotRunRefusal(
      RefusalReason.NotReady,
      'the daemon has not learned the versions in force',
    );
  }

  /**
   * @param attempt An attempt.
   * @param phase When it is looked at.
   * @returns Why this daemon's target may not execute it, if so.
   */
  checkAttempt({ call }: Attempt, phase: AdmissionPhase): Refusal | undefined {
    // A daemon that leaves finishes what it has accepted, waiting calls too.
    const isHeld = this.isLeaving && phase === AdmissionPhase.Starting;
    const objection = isHeld ? undefined : (this.checkCall() ?? this.#objectionToPlace());
    if (objection) return objection;
    const { pool, version } = call;
    const { workspace, name, repeatability } = call.route;
    return this.checkRules({ workspace, route: name, pool, repeatability, version });
  }

  /**
   * @param rules The rules that an attempt was decided by.
   * @returns Why this daemon's target may not execute it by the rules in force, if so.
   */
  checkRules(rules: RoutingRules): Refusal | undefined {
    const { pool, failureDomain } = this.#options.instance;
    if (!this.isDomainIn) {
      return makeNotRunRefusal(
        RefusalReason.DomainOut,
        `failure domain "${failureDomain}" was taken out`,
      );
    }
    if (rules.pool !== pool) {
      return differs(`this instance serves pool "${pool}", not "${rules.pool}"`);
    }
    const route = this.routes.findByName(rules.workspace, rules.route);
    if (!route) return differs(`route "${rules.route}" is not there`);
    if (!route.pools.some((share) => share.pool === pool)) {
      return differs(`pool "${pool}" does not serve the route`);
    }
    if (!route.homeRegions.permits(this.region)) {
      return differs('the target is outside the home regions');
    }
    const isStricter = runsAtMostOnce(route) && rules.repeatability === Repeatability.Idempotent;
    // An older version says nothing against what a newer one permits.
    if (isStricter && rules.version < this.version) {
      return differs('the route may run once at most');
    }
    return undefined;
  }

  #objectionToPlace(): Refusal | undefined {
    const { id } = this.#options.instance;
    const listed = this.#fleet.find(id);
    if (listed?.stage === InstanceStage.Leaving) {
      return makeNotRunRefusal(
        RefusalReason.Leaving,
        'the instance list says that the target is leaving',
      );
    }
    if (listed || !this.#wasListed) return undefined;
    return makeNotRunRefusal(RefusalReason.Leaving, 'the target is no longer in the instance list');
  }

  #apply(configuration: Configuration): void {
    this.#configuration = configuration;
    const isIn = this.isDomainIn;
    if (!isIn) this.#options.onDomainOut();
    if (isIn && !this.#wasIn) this.#options.onDomainIn();
    this.#wasIn = isIn;
    this.#options.onChange();
    this.versionTracker.recordApplied(configuration.version);
  }
}

function differs(detail: string): Refusal {
  return makeNotRunRefusal(RefusalReason.VersionsDiffer, detail);
}
