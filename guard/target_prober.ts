import { withTimeout, type Subscription, type TimerService } from '../timer/mod.ts';
import { NoticeSource, type NoticeTracker } from './notice_tracker.ts';
import type { TargetHealth } from './target_health.ts';
import { isOfTarget } from './target_identity.ts';
import type { SlowdownTracker } from './slowdown_tracker.ts';
import type { TargetPort } from './target_port.ts';

/** Period between probes of a target that is down or cold, in milliseconds. */
const URGENT_PERIOD_MS = 250;
/** Interval of the check whether a probe is due, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Period between probes of a target that gets no calls if no period is set, in milliseconds. */
const DOWN_PERIOD_MS = 1_000;
/** Age above which a reported slowdown is refreshed, in milliseconds. */
const SLOWDOWN_MAX_AGE_MS = 40;
/** Longest wait for a refreshed slowdown, in milliseconds; the call then proceeds without it. */
const SLOWDOWN_WAIT_MS = 10;

/** Options of {@linkcode TargetProber}. */
export interface TargetProberOptions {
  timer: TimerService;
  port: TargetPort;
  health: TargetHealth;
  slowdown: SlowdownTracker;
  notices: NoticeTracker;
  /** Period between probes, in milliseconds; if absent, only a target that gets no calls is probed. */
  periodMs: number | undefined;
  /** @returns Path of the health endpoint, if the configuration has one. */
  getPath: () => string | undefined;
  /** @returns Whether no calls are sent whose answers would show that the target accepts them again. */
  isBlocked: () => boolean;
  /** @returns Whether the target is down or cold. */
  isUrgent: () => boolean;
  /** Called at each check and after each probe, since the target may accept calls again. */
  onCheck: () => void;
}

/** Probes the target periodically, and before a call if the last reported slowdown is outdated. */
export class TargetProber {
  readonly #options: TargetProberOptions;
  readonly #checks: Subscription;
  #probing: Promise<void> | undefined;
  #probedAtMs = -Infinity;

  /** @param options See {@linkcode TargetProberOptions}. */
  constructor(options: TargetProberOptions) {
    this.#options = options;
    const { timer, periodMs } = options;
    this.#checks = timer.every(periodMs === undefined ? DOWN_PERIOD_MS : CHECK_INTERVAL_MS, () => {
      this.#check();
    });
  }

  /** Refreshes an outdated slowdown with a probe; does nothing if no period is set. */
  async refreshSlowdown(): Promise<void> {
    const { timer, slowdown, periodMs } = this.#options;
    if (periodMs === undefined || slowdown.reportAgeMs < SLOWDOWN_MAX_AGE_MS) return;
    await withTimeout(timer, SLOWDOWN_WAIT_MS, this.#probe());
  }

  /** Stops probing. */
  close(): void {
    this.#checks.cancel();
  }

  #check(): void {
    if (this.#options.timer.now() - this.#probedAtMs >= this.#delayMs) void this.#probe();
    this.#options.onCheck();
  }

  /** Time from the last probe to the next one, in milliseconds; infinite if no probe is needed. */
  get #delayMs(): number {
    const { periodMs, isBlocked, isUrgent } = this.#options;
    if (periodMs === undefined) return isBlocked() ? 0 : Infinity;
    return isUrgent() ? Math.min(periodMs, URGENT_PERIOD_MS) : periodMs;
  }

  /** Concurrent calls share one probe. */
  #probe(): Promise<void> {
    this.#probing ??= this.#probeOnce().finally(() => {
      this.#probing = undefined;
    });
    return this.#probing;
  }

  async #probeOnce(): Promise<void> {
    const { timer, port, health, slowdown, notices, periodMs, getPath, isBlocked, onCheck } =
      this.#options;
    const sentAtMs = timer.now();
    this.#probedAtMs = sentAtMs;
    const report = await port.probe(getPath());
    const isCounted = report !== undefined || periodMs !== undefined || isBlocked();
    const sign = isCounted ? health.recordProbe(report, sentAtMs) : undefined;
    if (report && sign !== undefined && isOfTarget(sign)) {
      const { statement, isHealthy } = report;
      notices.record({ statement, sentAtMs, source: NoticeSource.Probe, isHealthy });
      slowdown.recordReport(report.load);
    }
    onCheck();
  }
}
