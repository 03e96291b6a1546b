import { DomainState, Proximity, type FailureDomain } from './failure_domain.ts';

/** The failure domains and regions of one configuration. */
export class Topology {
  readonly #domains = new Map<string, FailureDomain>();

  /** @param domains The failure domains. */
  constructor(domains: readonly FailureDomain[]) {
    for (const domain of domains) this.#domains.set(domain.name, domain);
  }

  /**
   * @param domain Name of a failure domain.
   * @returns The name of its region, if the failure domain is known.
   */
  regionOf(domain: string): string | undefined {
    return this.#domains.get(domain)?.region;
  }

  /**
   * @param domain Name of a failure domain.
   * @returns Whether the failure domain is known and in service.
   */
  isInService(domain: string): boolean {
    return this.#domains.get(domain)?.state === DomainState.InService;
  }

  /**
   * @param from Name of a failure domain.
   * @param to Name of the same or another failure domain.
   * @returns Distance between the two.
   */
  proximityBetween(from: string, to: string): Proximity {
    if (from === to) return Proximity.SameDomain;
    const sameRegion = this.regionOf(from) === this.regionOf(to);
    return sameRegion ? Proximity.SameRegion : Proximity.OtherRegion;
  }
}
