/** Lifecycle stage of an instance, according to the instance list or its own daemon. */
export enum InstanceStage {
  /** Not ready to accept calls yet. */
  Starting = 'starting',
  Live = 'live',
  /** Completes the calls in flight and accepts no new ones. */
  Leaving = 'leaving',
  /** Missing from the list since an outage of the platform; may still be live. */
  Lapsed = 'lapsed',
}

/** One machine with a target and the daemon beside it. */
export interface Instance {
  /** Unique ID of the instance. */
  id: string;
  /** Name of the pool whose target runs on it. */
  pool: string;
  /** Name of its failure domain. */
  failureDomain: string;
  /** `host:port` where its daemon accepts links from peers. */
  peerAddress: string;
  /** `host:port` where its daemon accepts calls. */
  callerAddress: string;
  stage: InstanceStage;
  /** ID of the target's current process, if the instance list states it. */
  targetId?: string;
  /** Number of calls that its target may run concurrently, if the instance list states it. */
  slots?: number;
}
