/** Whether a failure domain is in service, as set by operators. */
export enum DomainState {
  InService = 'in',
  /** Taken out of service by operators; accepts no new calls. */
  OutOfService = 'out',
}

/** A set of instances that fail together. */
export interface FailureDomain {
  name: string;
  /** Name of the region it belongs to. */
  region: string;
  state: DomainState;
}

/** Distance between two failure domains. */
export enum Proximity {
  SameDomain = 'same-domain',
  SameRegion = 'same-region',
  OtherRegion = 'other-region',
}
