import type { Result } from 'neverthrow';
import type { AttemptPort, Refusal } from '../contract/mod.ts';
import type { Instance } from '../instance/mod.ts';

/** An open way to the daemon of one instance, in one of its incarnations. */
export interface PeerPort extends AttemptPort {
  /** Incarnation of the daemon at the other end. */
  readonly incarnation: string;
}

/** Finds the way to the daemons of other instances, and to this daemon's own guard. */
export interface PeerDirectory {
  /**
   * @param instance The instance to reach.
   * @returns An open way to its daemon; the refusal's outcome is "not run".
   */
  open(instance: Instance): Promise<Result<PeerPort, Refusal>>;
}
