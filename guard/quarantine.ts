import { Event, type EventLog } from '../event_log/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** Options of {@linkcode Quarantine}. */
export interface QuarantineOptions {
  /** Crashes that a fingerprint must coincide with before it is blocked. */
  coincidences?: number;
  /** Time for which a fingerprint is blocked, in milliseconds. */
  blockMs?: number;
  /** Time for which one coincidence is remembered, in milliseconds. */
  crashWindowMs?: number;
}

const DEFAULT_COINCIDENCES = 2;
const DEFAULT_BLOCK_MS = 60_000;
const DEFAULT_MEMORY_MS = 30_000;
/** Fingerprints that are remembered. */
const MAX_SUSPECTS = 4_096;

/** Crashes of one instance that are closer together count once, in milliseconds. */
const SAME_CRASH_MS = 1_000;

interface Crash {
  instanceId: string;
  atMs: number;
}

interface Suspect {
  /** Crashes that it coincided with. */
  crashes: readonly Crash[];
  blockedUntilMs: number;
}

/**
 * Finds calls that crash each target that runs them: a fingerprint that was
 * in flight at several crashes, and was not answered since, is blocked for a while.
 */
export class Quarantine {
  readonly #timer: TimerService;
  readonly #log: EventLog;
  readonly #coincidences: number;
  readonly #blockMs: number;
  readonly #memoryMs: number;
  readonly #suspects = new Map<string, Suspect>();
  readonly #answeredAtMs = new Map<string, number>();

  /**
   * @param timer The source of time.
   * @param log Receives an event for each fingerprint that is blocked.
   * @param options See {@linkcode QuarantineOptions}.
   */
  constructor(timer: TimerService, log: EventLog, options: QuarantineOptions = {}) {
    this.#timer = timer;
    this.#log = log;
    this.#coincidences = options.coincidences ?? DEFAULT_COINCIDENCES;
    this.#blockMs = options.blockMs ?? DEFAULT_BLOCK_MS;
    this.#memoryMs = options.crashWindowMs ?? DEFAULT_MEMORY_MS;
  }

  /**
   * @param fingerprint Fingerprint of a call.
   * @returns Whether it is blocked now.
   */
  isBlocked(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    return suspect !== undefined && this.#timer.now() < suspect.blockedUntilMs;
  }

  /**
   * Clears a fingerprint, since a target has survived it.
   *
   * @param fingerprint Fingerprint of a call that was answered.
   */
  recordAnswer(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
    this.#answeredAtMs.delete(fingerprint);
    this.#answeredAtMs.set(fingerprint, this.#timer.now());
    dropOldest(this.#answeredAtMs);
  }

  /**
   * Counts a crash against a call that was in flight.
   *
   * @param fingerprint Fingerprint of the call.
   * @param instanceId Instance whose target crashed.
   * @returns Whether the crash was new for this fingerprint.
   */
  recordCrash(fingerprint: string, instanceId: string): boolean {
    const nowMs = this.#timer.now();
    const answeredAtMs = this.#answeredAtMs.get(fingerprint) ?? -Infinity;
    if (nowMs - answeredAtMs < this.#memoryMs) return false;
    const known = this.#suspects.get(fingerprint);
    const recent = (known?.crashes ?? []).filter(({ atMs }) => nowMs - atMs < this.#memoryMs);
    const isSame = (crash: Crash) =>
      crash.instanceId === instanceId && nowMs - crash.atMs < SAME_CRASH_MS;
    if (recent.some(isSame)) return false;
    this.#suspect(fingerprint, [...recent, { instanceId, atMs: nowMs }]);
    return true;
  }

  #suspect(fingerprint: string, crashes: readonly Crash[]): void {
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
