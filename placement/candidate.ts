import type { Proximity } from '../failure_domain/mod.ts';
import type { Instance } from '../instance/mod.ts';
import type { TargetView } from './target_view.ts';

/** A target that may execute a call. */
export interface Candidate {
  instance: Instance;
  proximity: Proximity;
  view: TargetView;
}
