/** Whether operators have put a failure domain into service. */
export enum DomainState {
  InService = 'in',
  /** Taken out by operators; accepts no new calls. */
  OutOfService = 'out',
}

/** A set of instances that fail together. */
export interface FailureDomain {
  name: string;
  /** Name of the region it belongs to. */
  region: string;
  state: DomainState;
}

/** How far apart two failure domains are. */
export enum Proximity {
  SameDomain = 'same-domain',
  SameRegion = 'same-region',
  OtherRegion = 'other-region',
}
