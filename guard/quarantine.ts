import {
  RefusalReason,
  computeFingerprint,
  makeNotRunRefusal,
  type Call,
  type Refusal,
} from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** Options of {@linkcode Quarantine}. */
export interface QuarantineOptions {
  /** Number of crashes during calls with a fingerprint after which it is blocked. */
  coincidences?: number;
  /** Time for which a fingerprint is blocked at first, in milliseconds. */
  blockMs?: number;
}

/** A crash of a target while calls with a fingerprint were running. */
export interface CrashCoincidence {
  fingerprint: string;
  /** Identifier of the crash. */
  crashId: string;
}

const DEFAULT_COINCIDENCES = 2;
const DEFAULT_BLOCK_MS = 60_000;
/** Factor by which each further block is longer than the one before. */
const BLOCK_GROWTH = 10;
const MAX_BLOCK_MS = 36_000_000;
/** Time for which a crash counts, in milliseconds; a call that crashes targets may be rare. */
const CRASH_WINDOW_MS = 600_000;
/** Time after an answer for which crashes during calls with its fingerprint do not count. */
const ANSWER_WINDOW_MS = 30_000;
/** Largest number of fingerprints, and of crashes, to keep. */
const MAX_RECORDS = 4_096;
/** Largest number of coincidences to tell a peer. */
const MAX_REPEATED = 256;

interface Suspect {
  /** Crashes while a call with the fingerprint was running, by identifier. */
  crashesAtMs: Map<string, number>;
  blockedUntilMs: number;
  /** Number of blocks so far. */
  blocks: number;
}

/**
 * Detects calls that crash the targets that run them. Blocks a fingerprint for
 * a while if calls with it were running at several crashes and none of them
 * has been answered since.
 */
export class Quarantine {
  readonly #timer: TimerService;
  readonly #log: EventLog;
  /** Number of crashes during calls with a fingerprint after which it is blocked. */
  readonly coincidenceLimit: number;
  readonly #blockMs: number;
  readonly #suspects = new Map<string, Suspect>();
  readonly #answeredAtMs = new Map<string, number>();
  /** Coincidences recorded before, so that one that peers repeat is counted once. */
  readonly #recorded = new Map<string, true>();

  /**
   * @param timer The clock.
   * @param log Receives an event for each blocked fingerprint.
   * @param options See {@linkcode QuarantineOptions}.
   */
  constructor(timer: TimerService, log: EventLog, options: QuarantineOptions = {}) {
    this.#timer = timer;
    this.#log = log;
    this.coincidenceLimit = options.coincidences ?? DEFAULT_COINCIDENCES;
    this.#blockMs = options.blockMs ?? DEFAULT_BLOCK_MS;
  }

  /** @returns Number of suspected fingerprints. */
  get suspectCount(): number {
    return this.#suspects.size;
  }

  /** @returns Whether any fingerprint is suspected. */
  get hasSuspects(): boolean {
    return this.#suspects.size > 0;
  }

  /** @returns The newest coincidences of suspected fingerprints, for a peer that may not know them. */
  get crashCoincidences(): CrashCoincidence[] {
    const all = [...this.#suspects].flatMap(([fingerprint, { crashesAtMs }]) =>
      [...crashesAtMs.keys()].map((crashId) => ({ fingerprint, crashId })),
    );
    return all.slice(-MAX_REPEATED);
  }

  /**
   * @param fingerprint Fingerprint of a call.
   * @returns Whether it is blocked.
   */
  isBlocked(fingerprint: string): boolean {
    return this.#getBlockLeftMs(fingerprint) > 0;
  }

  /**
   * Checks whether a call is blocked. Computes no fingerprint while none is suspected.
   *
   * @param call The call.
   * @returns Time left of the block, in milliseconds; zero if the call is not blocked.
   */
  getBlockLeftMs(call: Call): number {
    const fingerprint = this.#fingerprintIfNeeded(call);
    return fingerprint === undefined ? 0 : this.#getBlockLeftMs(fingerprint);
  }

  /**
   * @param call A call.
   * @returns Whether calls with its fingerprint were running at a crash lately.
   */
  isSuspected(call: Call): boolean {
    const fingerprint = this.#fingerprintIfNeeded(call);
    return fingerprint !== undefined && this.#suspects.has(fingerprint);
  }

  /**
   * Records that a target has answered a call.
   *
   * @param call The call.
   * @returns Its fingerprint if it was suspected and no longer is.
   */
  recordAnsweredCall(call: Call): string | undefined {
    const fingerprint = this.#fingerprintIfNeeded(call);
    if (fingerprint === undefined || !this.recordAnswer(fingerprint)) return undefined;
    return fingerprint;
  }

  /**
   * Clears a fingerprint after a target has answered a call with it.
   *
   * @param fingerprint Fingerprint of the call.
   * @returns Whether it was suspected.
   */
  recordAnswer(fingerprint: string): boolean {
    this.#answeredAtMs.delete(fingerprint);
    this.#answeredAtMs.set(fingerprint, this.#timer.now());
    dropOldest(this.#answeredAtMs);
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect) return false;
    this.#suspects.delete(fingerprint);
    const crashes = suspect.crashesAtMs.size;
    this.#log.write(Event.FingerprintCleared, { fingerprint, crashes });
    return true;
  }

  /**
   * Records that a target crashed while a call was running.
   *
   * @param fingerprint Fingerprint of the call.
   * @param crashId Identifier of the crash.
   * @returns Whether the crash was new for this fingerprint.
   */
  recordCrash(fingerprint: string, crashId: string): boolean {
    const key = `${fingerprint} ${crashId}`;
    if (this.#recorded.has(key)) return false;
    this.#recorded.set(key, true);
    dropOldest(this.#recorded);
    const nowMs = this.#timer.now();
    const answeredAtMs = this.#answeredAtMs.get(fingerprint) ?? -Infinity;
    const isCounted = nowMs - answeredAtMs >= ANSWER_WINDOW_MS;
    this.#log.write(Event.CrashRecorded, { fingerprint, crash: crashId, isCounted });
    if (!isCounted) return false;
    const suspect = this.#suspects.get(fingerprint) ?? {
      crashesAtMs: new Map<string, number>(),
      blockedUntilMs: 0,
      blocks: 0,
    };
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    dropOldest(this.#suspects);
    dropExpired(suspect, nowMs);
    suspect.crashesAtMs.set(crashId, nowMs);
    this.#blockIfConfirmed(fingerprint, suspect);
    return true;
  }

  /** Drops the fingerprints that are neither blocked nor have crashed a target lately. */
  prune(): void {
    const nowMs = this.#timer.now();
    for (const [fingerprint, suspect] of this.#suspects) {
      dropExpired(suspect, nowMs);
      const isBlocked = nowMs < suspect.blockedUntilMs;
      if (!isBlocked && suspect.crashesAtMs.size === 0) this.#suspects.delete(fingerprint);
    }
  }

  #blockIfConfirmed(fingerprint: string, suspect: Suspect): void {
    const nowMs = this.#timer.now();
    const isConfirmed = suspect.blocks > 0 || suspect.crashesAtMs.size >= this.coincidenceLimit;
    if (!isConfirmed || nowMs < suspect.blockedUntilMs) return;
    const blockMs = Math.min(this.#blockMs * BLOCK_GROWTH ** suspect.blocks, MAX_BLOCK_MS);
    suspect.blocks += 1;
    suspect.blockedUntilMs = nowMs + blockMs;
    const crashes = suspect.crashesAtMs.size;
    this.#log.write(Event.FingerprintQuarantined, { fingerprint, crashes, blockMs });
  }

  #getBlockLeftMs(fingerprint: string): number {
    const blockedUntilMs = this.#suspects.get(fingerprint)?.blockedUntilMs ?? 0;
    return Math.max(0, blockedUntilMs - this.#timer.now());
  }

  /**
   * Logs that a call is refused as its fingerprint is blocked.
   *
   * @param call The call.
   * @param leftMs Time left of the block, in milliseconds.
   */
  logRefusal(call: Call, leftMs: number): void {
    const fingerprint = this.#fingerprintIfNeeded(call);
    const fields = { call: call.id, fingerprint, leftMs: Math.round(leftMs) };
    this.#log.write(Event.CallQuarantined, fields);
  }

  #fingerprintIfNeeded(call: Call): string | undefined {
    return this.hasSuspects && call.route.quarantine ? computeFingerprint(call) : undefined;
  }
}

/**
 * Checks whether a call may be sent to a target.
 *
 * @param quarantine The quarantine.
 * @param call The call.
 * @returns A refusal if the call is blocked.
 */
export function checkQuarantine(quarantine: Quarantine, call: Call): Refusal | undefined {
  const retryAfterMs = quarantine.getBlockLeftMs(call);
  if (retryAfterMs === 0) return undefined;
  quarantine.logRefusal(call, retryAfterMs);
  const detail = 'calls like this one were running when targets crashed';
  return { ...makeNotRunRefusal(RefusalReason.Quarantined, detail), retryAfterMs };
}

/**
 * Checks whether a call may be sent to a further target after it has lost attempts. An entry cannot
 * tell at once whether the targets of these have crashed.
 *
 * @param quarantine The quarantine.
 * @param call The call.
 * @param lostCount Number of its attempts without a result.
 * @returns A refusal if the call is suspected, or if the attempts are as many as the crashes for
 * which a call is blocked.
 */
export function checkLostAttempts(
  quarantine: Quarantine,
  call: Call,
  lostCount: number,
): Refusal | undefined {
  if (!call.route.quarantine || lostCount === 0) return undefined;
  if (lostCount < quarantine.coincidenceLimit && !quarantine.isSuspected(call)) return undefined;
  const detail = `the results of ${lostCount} attempts were lost`;
  return makeNotRunRefusal(RefusalReason.Quarantined, detail);
}

function dropExpired({ crashesAtMs }: Suspect, nowMs: number): void {
  for (const [crashId, atMs] of crashesAtMs) {
    if (nowMs - atMs >= CRASH_WINDOW_MS) crashesAtMs.delete(crashId);
  }
}

function dropOldest(records: Map<string, unknown>): void {
  if (records.size <= MAX_RECORDS) return;
  for (const oldest of records.keys()) {
    records.delete(oldest);
    return;
  }
}
