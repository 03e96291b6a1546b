import type { Result } from 'neverthrow';
import type { AttemptPort, Refusal } from '../contract/mod.ts';
import type { Instance } from '../instance/mod.ts';

/** An open connection to one incarnation of the daemon of an instance. */
export interface PeerPort extends AttemptPort {
  /** Incarnation of the connected daemon. */
  readonly incarnation: string;
}

/** Connects to the daemons of other instances and to this daemon's own guard. */
export interface PeerDirectory {
  /**
   * Opens a connection, or returns one that is open.
   *
   * @param instance The instance to connect to.
   * @returns A connection to its daemon, or a refusal with the outcome not-run.
   */
  open(instance: Instance): Promise<Result<PeerPort, Refusal>>;
}
