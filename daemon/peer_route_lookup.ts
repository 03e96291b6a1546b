import { err, ok, type Result } from 'neverthrow';
import {
  ReceiverRole,
  RefusalReason,
  makeUnknownRefusal,
  type RoutingRules,
  type Refusal,
  type Route,
} from '../contract/mod.ts';
import type { PeerRouteQuery } from '../link/mod.ts';
import type { ClusterView } from './cluster_view.ts';

/** Compares the rules that a peer decided by with those in force at this daemon. */
export class PeerRouteLookup {
  readonly #view: ClusterView;

  /** @param view The rules in force. */
  constructor(view: ClusterView) {
    this.#view = view;
  }

  /**
   * @param attempt A peer's attempt.
   * @returns The route to execute it by, or a refusal by the rules in force.
   */
  find({ rules, receiverRole: leg }: PeerRouteQuery): Result<Route, Refusal> {
    const objection = leg === ReceiverRole.Guard ? this.#view.checkRules(rules) : undefined;
    if (objection) return err(objection);
    const route = this.#view.routes.findByName(rules.workspace, rules.route);
    if (!route) return err(unknownToOwner(rules));
    const { repeatability } = rules;
    return ok(route.repeatability === repeatability ? route : { ...route, repeatability });
  }

  /**
   * Looks a peer's attempt up again, after a wait for the version that it was decided by if that
   * is newer than the one in force.
   *
   * @param attempt The attempt, which the rules in force refuse.
   * @returns The route to execute it by, or a refusal.
   */
  async findAfterCatchUp(attempt: PeerRouteQuery): Promise<Result<Route, Refusal>> {
    const { rules, receiverRole: leg, leftMs } = attempt;
    const objection = leg === ReceiverRole.Guard ? this.#view.checkCall() : undefined;
    if (objection) return err(objection);
    if (rules.version > this.#view.version) {
      await this.#view.versionTracker.waitFor(rules.version, leftMs);
    }
    return this.find(attempt);
  }
}

/** Says nothing about earlier calls under the same key, which only their owner knows. */
function unknownToOwner({ workspace, route }: RoutingRules): Refusal {
  const detail = `route "${workspace}/${route}" is not in the version in force`;
  return makeUnknownRefusal(RefusalReason.VersionsDiffer, detail);
}
