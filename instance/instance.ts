/** Where an instance stands in its life, as the platform's list or its own daemon says. */
export enum InstanceStage {
  /** Not ready to accept calls yet. */
  Starting = 'starting',
  Live = 'live',
  /** Finishing what it holds; accepts nothing new. */
  Leaving = 'leaving',
  /** Missing from the platform's list since an outage of the platform; may live all the same. */
  Lapsed = 'lapsed',
}

/** One machine with a target and the daemon beside it. */
export interface Instance {
  /** Unique name of the instance. */
  id: string;
  /** Name of the pool whose target runs on it. */
  pool: string;
  /** Name of the failure domain it stands in. */
  failureDomain: string;
  /** `host:port` where its daemon accepts links from peers. */
  peerAddress: string;
  /** `host:port` where its daemon accepts calls. */
  callerAddress: string;
  stage: InstanceStage;
  /** Name of the target's present run, if the platform's list tells it. */
  targetId?: string;
  /** Calls that its target runs at once, if the platform's list tells it. */
  slots?: number;
}
