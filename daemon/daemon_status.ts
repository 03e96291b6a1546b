import type { LoadState } from '../contract/mod.ts';
import type { InstanceStage } from '../instance/mod.ts';
import type { RejectedVersion } from '../configuration/mod.ts';

/** What operators see of one daemon. */
export interface DaemonStatus {
  instance: string;
  pool: string;
  failureDomain: string;
  incarnation: string;
  stage: InstanceStage;
  configurationVersion: number;
  fleetVersion: number;
  /** A newer configuration version that was refused, if any. */
  rejected: RejectedVersion | undefined;
  load: LoadState;
  /** Executions that began above the limit since the start. */
  overload: number;
  openCalls: number;
  links: number;
  linkBytesSent: number;
  linkBytesReceived: number;
  /** Bytes of kept answers and reservations. */
  keptBytes: number;
  /** Whether the daemon watches the platform for others. */
  isWatcher: boolean;
  platformReads: number;
}
