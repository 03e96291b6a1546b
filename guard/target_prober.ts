import { withTimeout, type Subscription, type TimerService } from '../timer/mod.ts';
import type { TargetHealth } from './target_health.ts';
import type { SlowdownTracker } from './slowdown_tracker.ts';
import type { TargetPort } from './target_port.ts';

/** Time between two probes of a target that is down or cold, in milliseconds. */
const URGENT_PERIOD_MS = 250;
/** Time between two looks at whether a probe is due, in milliseconds. */
const LOOK_PERIOD_MS = 100;
/** Time between two probes of a target that is down where no period is set, in milliseconds. */
const DOWN_PERIOD_MS = 1_000;
/** Age beyond which a target's report of its pace is asked for anew, in milliseconds. */
const PACE_AGE_MS = 40;
/** Longest wait for that report, in milliseconds; a call that waits longer goes on without. */
const PACE_WAIT_MS = 10;

/** What a {@linkcode TargetProber} needs. */
export interface TargetProberOptions {
  timer: TimerService;
  port: TargetPort;
  health: TargetHealth;
  slowdown: SlowdownTracker;
  /** Time between two probes; only a target that is down is probed if absent. */
  periodMs: number | undefined;
  /** @returns Path of the health endpoint, if the configuration names it. */
  getPath: () => string | undefined;
  /** @returns Whether the target is down or cold. */
  isUrgent: () => boolean;
  /** Called at each look and after each probe, since the target may take calls again. */
  onCheck: () => void;
}

/** Asks the target's health endpoint: now and then, and before a call whose target's pace is not known. */
export class TargetProber {
  readonly #options: TargetProberOptions;
  readonly #looking: Subscription;
  #probing: Promise<void> | undefined;
  #probedAtMs = -Infinity;

  /** @param options See {@linkcode TargetProberOptions}. */
  constructor(options: TargetProberOptions) {
    this.#options = options;
    const { timer, periodMs } = options;
    this.#looking = timer.every(periodMs === undefined ? DOWN_PERIOD_MS : LOOK_PERIOD_MS, () => {
      this.#look();
    });
  }

  /** Asks the target how fast it works, unless that is known; only one that is probed is asked. */
  async refreshSlowdown(): Promise<void> {
    const { timer, slowdown: pace, periodMs } = this.#options;
    if (periodMs === undefined || pace.reportAgeMs < PACE_AGE_MS) return;
    await withTimeout(timer, PACE_WAIT_MS, this.#probe());
  }

  /** Stops probing. */
  close(): void {
    this.#looking.cancel();
  }

  #look(): void {
    if (this.#options.timer.now() - this.#probedAtMs >= this.#delayMs) void this.#probe();
    this.#options.onCheck();
  }

  /** Time from the last probe to the next one, in milliseconds; infinite if none is wanted. */
  get #delayMs(): number {
    const { periodMs, health, isUrgent } = this.#options;
    if (periodMs === undefined) return health.isDown ? 0 : Infinity;
    return isUrgent() ? Math.min(periodMs, URGENT_PERIOD_MS) : periodMs;
  }

  /** Those who ask while a probe is under way share its answer. */
  #probe(): Promise<void> {
    this.#probing ??= this.#probeOnce().finally(() => {
      this.#probing = undefined;
    });
    return this.#probing;
  }

  async #probeOnce(): Promise<void> {
    const {
      timer,
      port,
      health,
      slowdown: pace,
      periodMs,
      getPath: path,
      onCheck: onLook,
    } = this.#options;
    this.#probedAtMs = timer.now();
    const report = await port.probe(path());
    pace.recordReport(report?.load);
    if (report || periodMs !== undefined) health.recordProbe(report);
    onLook();
  }
}
