import { InstanceStage } from '../instance/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import type { FleetDocument } from './fleet_schema.ts';

/**
 * Time after an outage of the platform within which live instances are listed
 * again, in milliseconds. The platform promises about two seconds. The
 * period is short: an instance that has stopped must not get calls half a second later.
 */
const GRACE_MS = 2_200;

/**
 * Retains instances that are missing from the list after an outage of the
 * platform. Their registrations expired because they could not be renewed during
 * the outage, which does not mean that the instances are down.
 */
export class OutageGracePeriod {
  readonly #timer: TimerService;
  #isPlatformUnavailable = false;
  #endsAtMs = -Infinity;
  /** Instances missing from the first list after the outage; one missing only later has left. */
  #missingIds: Set<string> | undefined;

  /** @param timer The clock. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** @returns Time left of the grace period, in milliseconds; zero if none runs. */
  get leftMs(): number {
    return Math.max(0, this.#endsAtMs - this.#timer.now());
  }

  /** Records a failed read of the list, which means an outage. */
  recordFailure(): void {
    this.#isPlatformUnavailable = true;
  }

  /** Records a successful read of the list; the first one after an outage starts the period. */
  recordSuccess(): void {
    if (!this.#isPlatformUnavailable) return;
    this.start();
  }

  /** Starts the period, for example after the platform was restored from a copy. */
  start(): void {
    this.#isPlatformUnavailable = false;
    this.#missingIds = undefined;
    this.#endsAtMs = this.#timer.now() + GRACE_MS;
  }

  /**
   * Adds the instances that are missing since the outage, marked as lapsed, while the period runs.
   *
   * @param previous The list in force.
   * @param next The list just read.
   * @returns The list to publish.
   */
  retainMissing(previous: FleetDocument | undefined, next: FleetDocument): FleetDocument {
    if (!previous || this.leftMs === 0) return next;
    const absent = Object.entries(previous.instances).filter(
      ([id, { stage }]) => !(id in next.instances) && stage !== InstanceStage.Leaving,
    );
    const missingIds = (this.#missingIds ??= new Set(absent.map(([id]) => id)));
    for (const id of Object.keys(next.instances)) missingIds.delete(id);
    const retained = absent
      .filter(([id]) => missingIds.has(id))
      .map(([id, instance]) => [id, { ...instance, stage: InstanceStage.Lapsed }] as const);
    return { ...next, instances: { ...next.instances, ...Object.fromEntries(retained) } };
  }
}
