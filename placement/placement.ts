import { err, ok, type Result } from 'neverthrow';
import { makeNotRunRefusal, RefusalReason, type Refusal, type Route } from '../contract/mod.ts';
import type { Topology } from '../failure_domain/mod.ts';
import type { Fleet, Instance } from '../instance/mod.ts';
import type { Candidate } from './candidate.ts';
import type { Picker } from './picker.ts';
import type { TargetViews } from './target_views.ts';

/** Why a target was chosen. */
export enum PlacementReason {
  /** The picker's first choice. */
  Picked = 'picked',
  /** Chosen after another target refused or failed. */
  Retried = 'retried',
  /** All others are avoided after failures. */
  LastResort = 'last-resort',
}

/** A choice of target, with what it was chosen from. */
export interface PlacementDecision {
  instance: Instance;
  candidate: Candidate;
  reason: PlacementReason;
  /** The candidates that the picker compared. */
  compared: readonly Candidate[];
  /** Number of candidates that it drew them from. */
  eligible: number;
}

/** The world as one decision sees it. */
export interface PlacementContext {
  fleet: Fleet;
  topology: Topology;
  /** Names of instances that were tried already. */
  excluded: ReadonlySet<string>;
}

/** Chooses the target for each attempt. */
export class Placement {
  readonly #failureDomain: string;
  readonly #board: TargetViews;
  readonly #picker: Picker;

  /**
   * @param failureDomain Failure domain of the deciding daemon.
   * @param board Views of the targets.
   * @param picker Chooses among the candidates.
   */
  constructor(failureDomain: string, board: TargetViews, picker: Picker) {
    this.#failureDomain = failureDomain;
    this.#board = board;
    this.#picker = picker;
  }

  /**
   * @param route The call's route.
   * @param pool The one of its pools that is to run the call.
   * @param scene The world to decide in.
   * @returns The choice, or a refusal if no target may execute the call.
   */
  choose(route: Route, pool: string, scene: PlacementContext): Result<PlacementDecision, Refusal> {
    const candidates = this.#candidatesFor(route, pool, scene);
    const healthy = candidates.filter(({ view }) => !view.isOutlier);
    const eligible = healthy.length > 0 ? healthy : candidates;
    const choice = this.#picker.pick(eligible);
    if (!choice) {
      const detail = `pool "${pool}" has no target left that accepts calls, tried ${scene.excluded.size}`;
      return err(makeNotRunRefusal(RefusalReason.NoTarget, detail));
    }
    const reason = this.#reasonFor(scene, healthy.length);
    const { candidate, compared } = choice;
    const { instance } = candidate;
    return ok({ instance, candidate, reason, compared, eligible: eligible.length });
  }

  #candidatesFor(route: Route, pool: string, scene: PlacementContext): Candidate[] {
    const candidates: Candidate[] = [];
    for (const instance of scene.fleet.activeInstancesOf(pool)) {
      const { failureDomain } = instance;
      if (scene.excluded.has(instance.id)) continue;
      if (!scene.topology.isInService(failureDomain)) continue;
      if (!route.homeRegions.permits(scene.topology.regionOf(failureDomain))) continue;
      const view = this.#board.get(instance.id);
      if (view.isUnavailable) continue;
      const proximity = scene.topology.proximityBetween(this.#failureDomain, failureDomain);
      candidates.push({ instance, proximity, view });
    }
    return candidates;
  }

  #reasonFor(scene: PlacementContext, healthy: number): PlacementReason {
    if (healthy === 0) return PlacementReason.LastResort;
    return scene.excluded.size > 0 ? PlacementReason.Retried : PlacementReason.Picked;
  }
}
