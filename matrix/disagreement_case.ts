import type { VersionChange, DisagreementCallType } from './disagreement_change.ts';

/** When each side learns of a change: one side first, or both at the same step of the call. */
export enum ChangeTiming {
  /** The entry knows of the change before the guards do. */
  EntryNewer = 'entry-newer',
  /** The daemons of all targets know of the change before the entry does. */
  GuardsNewer = 'guards-newer',
  /** All learn of the change while the call is in flight to a guard. */
  CallInFlight = 'under-way',
  /** All learn of the change while a target runs the call. */
  WhileRunning = 'while-running',
}

/** How long one side lags behind the other. */
export enum VersionLag {
  /** Both learn of the change at once. */
  None = 'none',
  /** Both sides agree before the deadline of the call. */
  Short = 'short',
  /** The deadline of the call passes before both sides agree. */
  Long = 'long',
}

/** Fault that occurs once in a case on the link between the entry and a guard. */
export enum LinkFault {
  None = 'none',
  /** The first frame that carries the call arrives twice, the second time much later. */
  CallDoubled = 'call-doubled',
  /** The link breaks briefly soon after the call was sent, whether or not it has been executed. */
  CallCut = 'call-cut',
  /** The link breaks while the target runs the call, until after the call's deadline. */
  LinkCut = 'link-cut',
}

/** A case in which an entry and guards know different versions. */
export interface DisagreementCase {
  /** The difference between the two versions. */
  change: VersionChange;
  timing: ChangeTiming;
  lag: VersionLag;
  /** Kind of the call that is made. */
  type: DisagreementCallType;
  linkFault: LinkFault;
  /** Determines when the case begins, and thereby the phase of every periodic task. */
  seed: number;
}
