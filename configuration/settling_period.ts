import stableStringify from 'safe-stable-stringify';
import { DomainState } from '../failure_domain/mod.ts';
import { InstanceStage } from '../instance/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import {
  configurationSchema,
  type ConfigurationDocument,
  type ConfigurationInput,
} from './configuration_schema.ts';
import type { FleetDocument } from './fleet_schema.ts';

/**
 * Length of the period, in milliseconds. Operators and targets write again what the platform has
 * lost within two seconds or so, and a registration that nobody renews expires after 4.5 s.
 */
const PERIOD_MS = 5_000;

/** The configuration as read from the platform. */
export interface ReadConfiguration {
  document: ConfigurationInput;
  /** Version that operators have given it, which no restore lowers; absent if it has none. */
  declaredVersion: number | undefined;
  /** Whether operators have written it later than the configuration in force was read. */
  isRenewed: boolean;
}

/**
 * Period after a restore of the platform from a copy, in which it may hold older documents than
 * those in force.
 */
export class SettlingPeriod {
  readonly #timer: TimerService;
  #endsAtMs = -Infinity;
  readonly #contents = new WeakMap<ConfigurationInput, string>();
  /** The configuration that was last taken from the platform. */
  #lastRead: { content: string; declaredVersion: number | undefined } | undefined;

  /** @param timer The clock. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns Time left of the period, in milliseconds; zero if it is over. */
  get leftMs(): number {
    return Math.max(0, this.#endsAtMs - this.#timer.now());
  }

  /** Starts the period, or starts it anew. */
  start(): void {
    this.#endsAtMs = this.#timer.now() + PERIOD_MS;
  }

  /**
   * Reconciles the instance list of the platform with the one in force. During the period, an
   * entry that was not renewed since does not bring back an instance that has left.
   *
   * @param inForce The list in force, if any.
   * @param read The list just read.
   * @param isRenewed Returns whether the entry of an instance is newer than the list in force.
   * @returns The list to publish; the one just read if it needs no change.
   */
  reconcileFleet(
    inForce: FleetDocument | undefined,
    read: FleetDocument,
    isRenewed: (id: string) => boolean,
  ): FleetDocument {
    if (!inForce || this.leftMs === 0) return read;
    const instances: FleetDocument['instances'] = {};
    let isChanged = false;
    for (const [id, instance] of Object.entries(read.instances)) {
      const known = inForce.instances[id];
      const isKnown = known !== undefined && known.targetId === instance.targetId;
      const isLeaving = isKnown && known.stage === InstanceStage.Leaving;
      if (isRenewed(id) || (isKnown && !isLeaving)) instances[id] = instance;
      else if (isLeaving) instances[id] = { ...instance, stage: InstanceStage.Leaving };
      isChanged ||= instances[id]?.stage !== instance.stage;
    }
    return isChanged ? { ...read, instances } : read;
  }

  /**
   * Reconciles the configuration of the platform with the one in force. An older one never replaces
   * it. During the period, a failure domain is out of service if either of them says so.
   *
   * @param inForce The configuration in force, if any.
   * @param read The configuration just read.
   * @returns The configuration to publish; the one just read if it needs no change.
   */
  reconcileConfiguration(
    inForce: ConfigurationDocument | undefined,
    read: ReadConfiguration,
  ): ConfigurationInput {
    const { document, declaredVersion } = read;
    const isOlder = inForce !== undefined && this.#isOlder(inForce, read);
    if (!isOlder) this.#lastRead = { content: this.#formatContent(document), declaredVersion };
    const outOfService = this.leftMs > 0 ? listOutOfService(inForce) : new Set<string>();
    const failureDomains = document.failureDomains.map((domain) =>
      outOfService.has(domain.name) ? { ...domain, state: DomainState.OutOfService } : domain,
    );
    if (isOlder) return { ...inForce, version: document.version, failureDomains };
    const isChanged = failureDomains.some((each, index) => each !== document.failureDomains[index]);
    return isChanged ? { ...document, failureDomains } : document;
  }

  #isOlder(inForce: ConfigurationDocument, read: ReadConfiguration): boolean {
    const { document, declaredVersion, isRenewed } = read;
    const inForceContent = this.#formatContent(inForce);
    if (this.#formatContent(document) === inForceContent) return false;
    const known = this.#lastRead;
    const isKnown = known?.content === inForceContent;
    if (!isKnown || known.declaredVersion === undefined || declaredVersion === undefined)
      return this.leftMs > 0 && !isRenewed;
    return declaredVersion < known.declaredVersion;
  }

  /** Formats a configuration without its version and the states of failure domains. */
  #formatContent(document: ConfigurationInput): string {
    const formatted = this.#contents.get(document) ?? formatContent(document);
    this.#contents.set(document, formatted);
    return formatted;
  }
}

function listOutOfService(document: ConfigurationDocument | undefined): Set<string> {
  const domains = document?.failureDomains ?? [];
  const out = domains.filter(({ state }) => state === DomainState.OutOfService);
  return new Set(out.map(({ name }) => name));
}

function formatContent(document: ConfigurationInput): string {
  // The version counts for nothing here, and is not known yet for a configuration just read.
  const parsed = configurationSchema.safeParse({ ...document, version: 1 });
  const { workspaces, pools, routes, callers } = parsed.data ?? document;
  return stableStringify({ workspaces, pools, routes, callers }) ?? '';
}
