import { err, ok, type Result } from 'neverthrow';
import { makeNotRunRefusal, RefusalReason, type Refusal, type Route } from '../contract/mod.ts';
import type { Topology } from '../failure_domain/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import type { Candidate } from './candidate.ts';
import type { Picker } from './picker.ts';
import type { TargetViews } from './target_views.ts';

/** Reasons for choosing a target. */
export enum PlacementReason {
  /** The picker's first choice. */
  Picked = 'picked',
  /** Chosen for a retry after another target refused or failed. */
  Retried = 'retried',
  /** Chosen although it is avoided after failures, since all candidates are. */
  LastResort = 'last-resort',
}

/** The chosen target and the candidates it was chosen from. */
export interface PlacementDecision {
  instance: Instance;
  candidate: Candidate;
  reason: PlacementReason;
  /** The candidates that the picker compared. */
  compared: readonly Candidate[];
  /** Number of candidates that the picker chose from. */
  eligible: number;
}

/** Arguments of a placement decision. */
export interface PlacementContext {
  fleet: Fleet;
  topology: Topology;
  /** IDs of instances to which an attempt was already sent. */
  excluded: ReadonlySet<string>;
}

/** Chooses the target for each attempt. */
export class Placement {
  readonly #failureDomain: string;
  readonly #targetViews: TargetViews;
  readonly #picker: Picker;

  /**
   * @param failureDomain Failure domain of this daemon.
   * @param targetViews Views of the targets.
   * @param picker Chooses among the candidates.
   */
  constructor(failureDomain: string, targetViews: TargetViews, picker: Picker) {
    this.#failureDomain = failureDomain;
    this.#targetViews = targetViews;
    this.#picker = picker;
  }

  /**
   * Chooses a target for an attempt.
   *
   * @param route The call's route.
   * @param pool Pool of the route that runs the call.
   * @param context The fleet, the topology and the instances to exclude.
   * @returns The decision, or a refusal if no target may execute the call.
   */
  choose(
    route: Route,
    pool: string,
    context: PlacementContext,
  ): Result<PlacementDecision, Refusal> {
    const candidates = this.#findCandidates(route, pool, context);
    const healthy = candidates.filter(({ view }) => !view.isOutlier);
    const eligible = healthy.length > 0 ? healthy : candidates;
    const choice = this.#picker.pick(eligible);
    if (!choice) {
      const detail = `pool "${pool}" has no target left that accepts calls, tried ${context.excluded.size}`;
      return err(makeNotRunRefusal(RefusalReason.NoTarget, detail));
    }
    const reason = this.#selectReason(context, healthy.length);
    const { candidate, compared } = choice;
    const { instance } = candidate;
    return ok({ instance, candidate, reason, compared, eligible: eligible.length });
  }

  #findCandidates(route: Route, pool: string, context: PlacementContext): Candidate[] {
    const candidates: Candidate[] = [];
    for (const instance of context.fleet.activeInstancesOf(pool)) {
      const { failureDomain } = instance;
      if (context.excluded.has(instance.id)) continue;
      if (!context.topology.isInService(failureDomain)) continue;
      if (!route.homeRegions.permits(context.topology.regionOf(failureDomain))) continue;
      const view = this.#targetViews.get(instance.id);
      if (view.isUnavailable) continue;
      const proximity = context.topology.proximityBetween(this.#failureDomain, failureDomain);
      candidates.push({ instance, proximity, view });
    }
    return candidates;
  }

  #selectReason(context: PlacementContext, healthy: number): PlacementReason {
    if (healthy === 0) return PlacementReason.LastResort;
    return context.excluded.size > 0 ? PlacementReason.Retried : PlacementReason.Picked;
  }
}
