import { Event, type EventLog } from '../event_log/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** Options of {@linkcode Quarantine}. */
export interface QuarantineOptions {
  /** Number of crashes during calls with a fingerprint after which it is blocked. */
  coincidences?: number;
  /** Time for which a fingerprint is blocked, in milliseconds. */
  blockMs?: number;
  /** Time for which a crash or an answer counts, in milliseconds. */
  crashWindowMs?: number;
}

const DEFAULT_COINCIDENCES = 2;
const DEFAULT_BLOCK_MS = 60_000;
const DEFAULT_CRASH_WINDOW_MS = 30_000;
/** Largest number of fingerprints to keep. */
const MAX_SUSPECTS = 4_096;

/** Time within which several crashes of one instance count as one, in milliseconds. */
const SAME_CRASH_MS = 1_000;

interface Crash {
  instanceId: string;
  atMs: number;
}

interface Suspect {
  /** Crashes while a call with the fingerprint was in flight. */
  crashes: readonly Crash[];
  blockedUntilMs: number;
}

/**
 * Detects calls that crash the targets that run them. Blocks a fingerprint for
 * a while if calls with it were in flight at several crashes and none of them
 * has been answered since.
 */
export class Quarantine {
  readonly #timer: TimerService;
  readonly #log: EventLog;
  readonly #coincidences: number;
  readonly #blockMs: number;
  readonly #crashWindowMs: number;
  readonly #suspects = new Map<string, Suspect>();
  readonly #answeredAtMs = new Map<string, number>();

  /**
   * @param timer The clock.
   * @param log Receives an event for each blocked fingerprint.
   * @param options See {@linkcode QuarantineOptions}.
   */
  constructor(timer: TimerService, log: EventLog, options: QuarantineOptions = {}) {
    this.#timer = timer;
    this.#log = log;
    this.#coincidences = options.coincidences ?? DEFAULT_COINCIDENCES;
    this.#blockMs = options.blockMs ?? DEFAULT_BLOCK_MS;
    this.#crashWindowMs = options.crashWindowMs ?? DEFAULT_CRASH_WINDOW_MS;
  }

  /**
   * @param fingerprint Fingerprint of a call.
   * @returns Whether it is blocked.
   */
  isBlocked(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && this.#timer.now() < suspect.blockedUntilMs;
  }

  /**
   * Clears a fingerprint after a target has answered a call with it.
   *
   * @param fingerprint Fingerprint of the call.
   */
  recordAnswer(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
    this.#answeredAtMs.delete(fingerprint);
    this.#answeredAtMs.set(fingerprint, this.#timer.now());
    dropOldest(this.#answeredAtMs);
  }

  /**
   * Records that a target crashed while a call was in flight.
   *
   * @param fingerprint Fingerprint of the call.
   * @param instanceId Instance whose target crashed.
   * @returns Whether the crash was new for this fingerprint.
   */
  recordCrash(fingerprint: string, instanceId: string): boolean {
    const nowMs = this.#timer.now();
    const answeredAtMs = this.#answeredAtMs.get(fingerprint) ?? -Infinity;
    if (nowMs - answeredAtMs < this.#crashWindowMs) return false;
    const known = this.#suspects.get(fingerprint);
    const recent = (known?.crashes ?? []).filter(({ atMs }) => nowMs - atMs < this.#crashWindowMs);
    const isSameCrash = (crash: Crash) =>
      crash.instanceId === instanceId && nowMs - crash.atMs < SAME_CRASH_MS;
    if (recent.some(isSameCrash)) return false;
    this.#updateSuspect(fingerprint, [...recent, { instanceId, atMs: nowMs }]);
    return true;
  }

  #updateSuspect(fingerprint: string, crashes: readonly Crash[]): void {
    const isBlocked = crashes.length >= this.#coincidences;
    const blockedUntilMs = isBlocked ? this.#timer.now() + this.#blockMs : 0;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, { crashes, blockedUntilMs });
    dropOldest(this.#suspects);
    if (!isBlocked) return;
    const fields = { crashes: crashes.length, blockMs: this.#blockMs };
    this.#log.write(Event.FingerprintQuarantined, fields);
  }
}

function dropOldest(records: Map<string, unknown>): void {
  if (records.size <= MAX_SUSPECTS) return;
  for (const oldest of records.keys()) {
    records.delete(oldest);
    return;
  }
}
