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

/** Looks up the route for a peer's attempt, and checks the peer's rules against those in force. */
export class PeerRouteLookup {
  readonly #view: ClusterView;

  /** @param view The configuration in force. */
  constructor(view: ClusterView) {
    this.#view = view;
  }

  /**
   * Looks up the route under the version in force.
   *
   * @param query How the peer resolved the call.
   * @returns The route to execute it under, or a refusal.
   */
  find({ rules, receiverRole }: PeerRouteQuery): Result<Route, Refusal> {
    const refusal = receiverRole === ReceiverRole.Guard ? this.#view.checkRules(rules) : undefined;
    if (refusal) return err(refusal);
    const route = this.#view.routes.findByName(rules.workspace, rules.route);
    if (!route) return err(makeUnknownRouteRefusal(rules));
    const { repeatability } = rules;
    return ok(route.repeatability === repeatability ? route : { ...route, repeatability });
  }

  /**
   * Looks up the route once more. If the attempt was routed under a newer version than the one in
   * force, waits for that version first.
   *
   * @param query How the peer resolved the call, which was refused under the version in force.
   * @returns The route to execute it under, or a refusal.
   */
  async findAfterCatchUp(query: PeerRouteQuery): Promise<Result<Route, Refusal>> {
    const { rules, receiverRole, leftMs } = query;
    const refusal = receiverRole === ReceiverRole.Guard ? this.#view.checkCall() : undefined;
    if (refusal) return err(refusal);
    if (rules.version > this.#view.version) {
      await this.#view.versionTracker.waitFor(rules.version, leftMs);
    }
    return this.find(query);
  }
}

/** The outcome is unknown because only the key owner knows of earlier calls under the same key. */
function makeUnknownRouteRefusal({ workspace, route }: RoutingRules): Refusal {
  const detail = `route "${workspace}/${route}" is not in the version in force`;
  return makeUnknownRefusal(RefusalReason.VersionsDiffer, detail);
}
