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
import { Fleet, InstanceStage, type Instance } from '../instance/mod.ts';
import {
  DocumentKind,
  DocumentStore,
  VersionTracker,
  type Configuration,
} from '../configuration/mod.ts';
import type { Settings } from '../settings/mod.ts';
import { AdmissionPhase } from '../guard/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import { Lifecycle } from './lifecycle.ts';

const NO_ROUTES = new RouteTable([], []);
const NO_TOPOLOGY = new Topology([]);

/** Options of {@linkcode ClusterView}. */
export interface ClusterViewOptions {
  timer: TimerService;
  instance: Settings['instance'];
  /** Called with each configuration that has this instance's failure domain out of service. */
  onDomainOut: () => void;
  /** Called when this instance's failure domain is put back into service. */
  onDomainIn: () => void;
  /** Called after a configuration or an instance list was applied. */
  onChange: () => void;
}

/** The configuration and instance list in force, and the calls that they permit to this daemon. */
export class ClusterView {
  readonly store: DocumentStore;
  /** Versions of the configuration that are applied here or known from peers. */
  readonly versionTracker: VersionTracker;
  readonly lifecycle = new Lifecycle();
  readonly #options: ClusterViewOptions;
  #configuration: Configuration | undefined;
  #fleet = new Fleet(0, []);
  #wasInService = true;
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
        this.#wasListed ||= this.listing !== undefined;
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

  /** @returns This instance as listed; absent if another pool's target has its address. */
  get listing(): Instance | undefined {
    const { id, pool } = this.#options.instance;
    const listed = this.#fleet.find(id);
    return listed?.pool === pool ? listed : undefined;
  }

  /** @returns Version of the configuration in force; zero if there is none. */
  get version(): number {
    return this.store.versionOf(DocumentKind.Configuration);
  }

  /** @returns Whether a configuration and an instance list are in force. */
  get hasBothDocuments(): boolean {
    return this.#configuration !== undefined && this.#fleet.version > 0;
  }

  /** @returns Whether this daemon is leaving. */
  get isLeaving(): boolean {
    return this.lifecycle.stage === InstanceStage.Leaving;
  }

  /** @returns Region of this instance, if the configuration lists its failure domain. */
  get region(): string | undefined {
    return this.#configuration?.topology.regionOf(this.#options.instance.failureDomain);
  }

  /** @returns Whether this instance's failure domain is in service. */
  get isDomainInService(): boolean {
    return this.#configuration?.topology.isInService(this.#options.instance.failureDomain) ?? false;
  }

  /** @returns The routes in force. */
  get routes(): RouteTable {
    return this.#configuration?.routes ?? NO_ROUTES;
  }

  /** @returns A snapshot of the cluster for one decision. */
  get snapshot(): ClusterSnapshot {
    const configuration = this.#configuration;
    return {
      fleet: this.#fleet,
      topology: configuration?.topology ?? NO_TOPOLOGY,
      configurationVersion: configuration?.version ?? 0,
      findPool: (name) => configuration?.findPool(name),
    };
  }

  /**
   * Checks whether this daemon accepts calls now.
   *
   * @returns A refusal if it does not.
   */
  checkCall(): Refusal | undefined {
    if (this.lifecycle.acceptsCalls) return undefined;
    if (this.isLeaving) return makeNotRunRefusal(RefusalReason.Leaving, 'the daemon is leaving');
    return makeNotRunRefusal(
      RefusalReason.NotReady,
      'the daemon has not learned the versions in force',
    );
  }

  /**
   * Checks whether this daemon's target may execute an attempt.
   *
   * @param attempt The attempt.
   * @param phase Point of its admission at which it is checked.
   * @returns A refusal if the target may not execute it.
   */
  checkAttempt({ call }: Attempt, phase: AdmissionPhase): Refusal | undefined {
    // A leaving daemon completes the calls that it has accepted, including queued ones.
    const isAccepted = this.isLeaving && phase === AdmissionPhase.Starting;
    const refusal = isAccepted ? undefined : (this.checkCall() ?? this.#checkListing());
    if (refusal) return refusal;
    const { pool, version } = call;
    const { workspace, name, repeatability } = call.route;
    return this.checkRules({ workspace, route: name, pool, repeatability, version });
  }

  /**
   * Checks the rules that an attempt was routed by against those in force.
   *
   * @param rules The rules that the sender applied.
   * @returns A refusal if this daemon's target may not execute the attempt.
   */
  checkRules(rules: RoutingRules): Refusal | undefined {
    const { pool, failureDomain } = this.#options.instance;
    if (!this.isDomainInService) {
      return makeNotRunRefusal(
        RefusalReason.DomainOut,
        `failure domain "${failureDomain}" was taken out`,
      );
    }
    if (rules.pool !== pool) {
      return makeVersionRefusal(`this instance serves pool "${pool}", not "${rules.pool}"`);
    }
    const route = this.routes.findByName(rules.workspace, rules.route);
    if (!route) return makeVersionRefusal(`route "${rules.route}" is not there`);
    if (!route.pools.some((share) => share.pool === pool)) {
      return makeVersionRefusal(`pool "${pool}" does not serve the route`);
    }
    if (!route.homeRegions.permits(this.region)) {
      return makeVersionRefusal('the target is outside the home regions');
    }
    const isStricter = runsAtMostOnce(route) && rules.repeatability === Repeatability.Idempotent;
    // Only a newer version here may forbid a retry that the sender's version permits.
    if (isStricter && rules.version < this.version) {
      return makeVersionRefusal('the route may run once at most');
    }
    return undefined;
  }

  #checkListing(): Refusal | undefined {
    const { listing: listed } = this;
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
    const isInService = this.isDomainInService;
    if (!isInService) this.#options.onDomainOut();
    if (isInService && !this.#wasInService) this.#options.onDomainIn();
    this.#wasInService = isInService;
    this.#options.onChange();
    this.versionTracker.recordApplied(configuration.version);
  }
}

function makeVersionRefusal(detail: string): Refusal {
  return makeNotRunRefusal(RefusalReason.VersionsDiffer, detail);
}
