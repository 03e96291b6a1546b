import type { LoadState } from '../contract/mod.ts';
import type { InstanceStage } from '../instance/mod.ts';
import type { RejectedVersion } from '../configuration/mod.ts';

/** Status of one daemon, as operators see it. */
export interface DaemonStatus {
  instance: string;
  pool: string;
  failureDomain: string;
  incarnation: string;
  stage: InstanceStage;
  configurationVersion: number;
  fleetVersion: number;
  /** A newer configuration version that was rejected, if any. */
  rejected: RejectedVersion | undefined;
  load: LoadState;
  /** Executions that started above the limit, since the start of the daemon. */
  overload: number;
  openCalls: number;
  links: number;
  linkBytesSent: number;
  linkBytesReceived: number;
  /** Bytes of kept answers and of reservations for them. */
  keptBytes: number;
  /** Number of calls that are suspected to crash targets. */
  suspectedCalls: number;
  /** Whether the daemon watches the platform on behalf of others. */
  isWatcher: boolean;
  platformReads: number;
}
