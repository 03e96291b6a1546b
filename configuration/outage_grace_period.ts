import { InstanceStage } from '../instance/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import type { FleetDocument } from './fleet_schema.ts';

/**
 * Time after an outage of the platform within which instances that live are
 * listed again, in milliseconds. The platform promises about two seconds; an
 * instance that leaves may get no work half a second later.
 */
const GRACE_MS = 2_200;

/**
 * Keeps instances that fell out of the list while the platform was away: their
 * entries lapsed because they could not be renewed, which says nothing of them.
 */
export class OutageGracePeriod {
  readonly #timer: TimerService;
  #isAway = false;
  #endsAtMs = -Infinity;
  /** Instances missing since the platform came back; one that goes missing later has left. */
  #missing: Set<string> | undefined;

  /** @param timer The source of time. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns Time for which missing instances are kept, in milliseconds; zero outside of an outage. */
  get leftMs(): number {
    return Math.max(0, this.#endsAtMs - this.#timer.now());
  }

  /** Notes that a read of the list got no answer. */
  recordFailure(): void {
    this.#isAway = true;
  }

  /** Notes that a read of the list was answered. */
  recordSuccess(): void {
    if (!this.#isAway) return;
    this.#isAway = false;
    this.#missing = undefined;
    this.#endsAtMs = this.#timer.now() + GRACE_MS;
  }

  /**
   * @param before The list as it was last published.
   * @param next The list as it was read now.
   * @returns The list to publish.
   */
  retainMissing(before: FleetDocument | undefined, next: FleetDocument): FleetDocument {
    if (!before || this.leftMs === 0) return next;
    const absent = Object.entries(before.instances).filter(
      ([id, { stage }]) => !(id in next.instances) && stage !== InstanceStage.Leaving,
    );
    const missing = (this.#missing ??= new Set(absent.map(([id]) => id)));
    for (const id of Object.keys(next.instances)) missing.delete(id);
    const kept = absent
      .filter(([id]) => missing.has(id))
      .map(([id, instance]) => [id, { ...instance, stage: InstanceStage.Lapsed }] as const);
    return { ...next, instances: { ...next.instances, ...Object.fromEntries(kept) } };
  }
}
