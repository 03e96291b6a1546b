import type { VersionChange, DisagreementCallType } from './disagreement_change.ts';

/** Which side of a link learns of a change first, or at which step of the call both do. */
export enum ChangeTiming {
  EntryNewer = 'entry-newer',
  /** The daemons of all targets know of it, the entry does not. */
  GuardsNewer = 'guards-newer',
  /** All learn of it while the call is on its way to a guard. */
  CallInFlight = 'under-way',
  /** All learn of it while a target runs the call. */
  WhileRunning = 'while-running',
}

/** How long one side lags behind the other. */
export enum Lag {
  /** Both learn of the change at once. */
  None = 'none',
  /** The call has time left once both agree. */
  Short = 'short',
  /** The call's deadline passes first. */
  Long = 'long',
}

/** What else goes wrong, once in a case, on the link between the entry and a guard. */
export enum LinkFault {
  None = 'none',
  /** The first frame that carries the call arrives twice, the second time much later. */
  CallDoubled = 'call-doubled',
  /** The link breaks for a moment soon after the call was sent, whether or not it has run. */
  CallCut = 'call-cut',
  /** The link breaks while the target runs the call, until after the call's deadline. */
  LinkCut = 'link-cut',
}

/** One case of an entry and guards that know different versions. */
export interface DisagreementCase {
  /** What one version says and the other does not. */
  change: VersionChange;
  timing: ChangeTiming;
  lag: Lag;
  /** Kind of the call that is made. */
  type: DisagreementCallType;
  linkFault: LinkFault;
  /** Sets the moment at which the case begins, and so the phase of every periodic task. */
  seed: number;
}
