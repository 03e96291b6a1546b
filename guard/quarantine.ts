import {
  RefusalReason,
  computeFingerprint,
  makeNotRunRefusal,
  type Call,
  type Deadline,
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

/** Kinds of evidence on whether calls with a fingerprint crash their targets. */
export enum EvidenceKind {
  /** A target crashed while a call with the fingerprint was running. */
  Crash = 'crash',
  /** A target answered calls with the fingerprint. */
  Answer = 'answer',
}

/** Evidence on whether calls with a fingerprint crash their targets. */
export interface Evidence {
  fingerprint: string;
  kind: EvidenceKind;
  /** Identifier, unique in the cluster; a crash has the same one for all calls that were running. */
  id: string;
  /** Time since the crash or answer was reported, in milliseconds. */
  ageMs: number;
}

const DEFAULT_COINCIDENCES = 2;
const DEFAULT_BLOCK_MS = 60_000;
/** Factor by which each further block is longer than the one before. */
const BLOCK_GROWTH = 10;
const MAX_BLOCK_MS = 36_000_000;
/** Time for which a crash counts, in milliseconds; a call that crashes targets may be rare. */
const CRASH_WINDOW_MS = 600_000;
/** Time for which evidence counts if calls with the fingerprint were answered, in milliseconds. */
const ANSWERED_WINDOW_MS = 60_000;
/** Time within which several crashes count as one, in milliseconds, as they may have a common cause. */
const COMMON_CAUSE_MS = 100;
/** Reported answers that outweigh one crash. */
const ANSWERS_PER_CRASH = 10;
/** Shortest interval between two reports of answers to calls with a fingerprint, in milliseconds. */
const ANSWER_REPORT_PERIOD_MS = 1_000;
/** Largest number of fingerprints, and of pieces of evidence, to keep. */
const MAX_RECORDS = 4_096;
/** Largest number of pieces of evidence to repeat to a peer. */
const MAX_REPEATED = 256;

interface Suspect {
  /** Crashes that count, by identifier. */
  crashesAtMs: Map<string, number>;
  /** Answers to calls with the fingerprint, as reported by guards, by identifier. */
  answersAtMs: Map<string, number>;
  /** Time of the latest report of this daemon's own guard, in milliseconds. */
  answerReportedAtMs: number;
  blockedUntilMs: number;
  /** Number of blocks so far. */
  blocks: number;
}

/**
 * Detects calls that crash the targets that run them. Blocks a fingerprint for a while if calls
 * with it were running at several crashes, and too few of them have been answered to outweigh these.
 * One answer does not clear a fingerprint: it shows only that one execution did not crash its target.
 */
export class Quarantine {
  readonly #timer: TimerService;
  readonly #log: EventLog;
  /** Number of crashes during calls with a fingerprint after which it is blocked. */
  readonly coincidenceLimit: number;
  readonly #blockMs: number;
  readonly #suspects = new Map<string, Suspect>();
  /** Evidence recorded before, so that what peers repeat is counted once. */
  readonly #recorded = new Map<string, true>();
  /** Fingerprints of calls by their deadlines, which the copies of a call share. */
  readonly #fingerprints = new WeakMap<Deadline, string>();

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

  /** @returns The newest evidence on suspected fingerprints, for a peer that may not know it. */
  get evidence(): Evidence[] {
    const nowMs = this.#timer.now();
    const list = (fingerprint: string, kind: EvidenceKind, atMs: ReadonlyMap<string, number>) =>
      [...atMs].map(([id, each]): Evidence => ({ fingerprint, kind, id, ageMs: nowMs - each }));
    const suspects = [...this.#suspects].filter(([, suspect]) => !isProbablyHarmless(suspect));
    const answers = suspects.flatMap(([fingerprint, { answersAtMs }]) =>
      list(fingerprint, EvidenceKind.Answer, answersAtMs),
    );
    const crashes = suspects.flatMap(([fingerprint, { crashesAtMs }]) =>
      list(fingerprint, EvidenceKind.Crash, crashesAtMs),
    );
    // Crashes come last, as a daemon that misses them sends such calls on.
    return [...answers, ...crashes].slice(-MAX_REPEATED);
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
   * Checks whether peers need to know that the daemon's own target has answered a call.
   *
   * @param call The call.
   * @returns Its fingerprint if it is suspected and no answer was reported lately.
   */
  takeAnswerReport(call: Call): string | undefined {
    const fingerprint = this.#fingerprintIfNeeded(call);
    const suspect = fingerprint === undefined ? undefined : this.#suspects.get(fingerprint);
    const nowMs = this.#timer.now();
    if (!suspect || nowMs - suspect.answerReportedAtMs < ANSWER_REPORT_PERIOD_MS) return undefined;
    suspect.answerReportedAtMs = nowMs;
    return fingerprint;
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

  /**
   * Records evidence.
   *
   * @param evidence Evidence on a fingerprint.
   * @returns Whether it was new, and of a suspected fingerprint.
   */
  record(evidence: Evidence): boolean {
    const key = `${evidence.fingerprint} ${evidence.id}`;
    if (this.#recorded.has(key)) return false;
    switch (evidence.kind) {
      case EvidenceKind.Crash:
        this.#recordCrash(evidence);
        break;
      case EvidenceKind.Answer:
        if (!this.#recordAnswer(evidence)) return false;
        break;
    }
    this.#recorded.set(key, true);
    dropOldest(this.#recorded);
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

  #recordCrash({ fingerprint, id, ageMs }: Evidence): void {
    const nowMs = this.#timer.now();
    const suspect = this.#suspects.get(fingerprint) ?? makeSuspect();
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, suspect);
    dropOldest(this.#suspects);
    dropExpired(suspect, nowMs);
    const atMs = nowMs - ageMs;
    const hasCommonCause = [...suspect.crashesAtMs.values()].some(
      (otherAtMs) => Math.abs(atMs - otherAtMs) < COMMON_CAUSE_MS,
    );
    if (!hasCommonCause) suspect.crashesAtMs.set(id, atMs);
    const suspicion = computeSuspicion(suspect);
    this.#log.write(Event.CrashRecorded, { fingerprint, crash: id, hasCommonCause, suspicion });
    const isConfirmed = suspect.blocks > 0 || suspicion >= this.coincidenceLimit;
    if (isConfirmed && nowMs >= suspect.blockedUntilMs) this.#block(fingerprint, suspect);
  }

  #recordAnswer({ fingerprint, id, ageMs }: Evidence): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect) return false;
    suspect.answersAtMs.set(id, this.#timer.now() - ageMs);
    const suspicion = computeSuspicion(suspect);
    if (suspicion < this.coincidenceLimit) this.#liftBlock(suspect);
    if (suspicion > 0) return true;
    this.#suspects.delete(fingerprint);
    const crashes = suspect.crashesAtMs.size;
    this.#log.write(Event.FingerprintCleared, { fingerprint, crashes });
    return true;
  }

  #block(fingerprint: string, suspect: Suspect): void {
    const blockMs = Math.min(this.#blockMs * BLOCK_GROWTH ** suspect.blocks, MAX_BLOCK_MS);
    suspect.blocks += 1;
    suspect.blockedUntilMs = this.#timer.now() + blockMs;
    const crashes = suspect.crashesAtMs.size;
    const answers = suspect.answersAtMs.size;
    this.#log.write(Event.FingerprintQuarantined, { fingerprint, crashes, answers, blockMs });
  }

  /** Calls that were running when the block began may be answered, and outweigh the crashes. */
  #liftBlock(suspect: Suspect): void {
    if (this.#timer.now() >= suspect.blockedUntilMs) return;
    suspect.blockedUntilMs = 0;
    suspect.blocks -= 1;
  }

  #getBlockLeftMs(fingerprint: string): number {
    const blockedUntilMs = this.#suspects.get(fingerprint)?.blockedUntilMs ?? 0;
    return Math.max(0, blockedUntilMs - this.#timer.now());
  }

  #fingerprintIfNeeded(call: Call): string | undefined {
    if (!this.hasSuspects || !call.route.quarantine) return undefined;
    const fingerprint = this.#fingerprints.get(call.deadline) ?? computeFingerprint(call);
    if (fingerprint !== undefined) this.#fingerprints.set(call.deadline, fingerprint);
    return fingerprint;
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

function makeSuspect(): Suspect {
  return {
    crashesAtMs: new Map(),
    answersAtMs: new Map(),
    answerReportedAtMs: -Infinity,
    blockedUntilMs: 0,
    blocks: 0,
  };
}

/** Whether a call was merely beside the one that crashed a target: most that are lost with a target are. */
function isProbablyHarmless({ crashesAtMs, answersAtMs }: Suspect): boolean {
  return crashesAtMs.size === 1 && answersAtMs.size > 0;
}

/** Returns the number of crashes that the answers do not outweigh. */
function computeSuspicion({ crashesAtMs, answersAtMs }: Suspect): number {
  return crashesAtMs.size - answersAtMs.size / ANSWERS_PER_CRASH;
}

function dropExpired({ crashesAtMs, answersAtMs }: Suspect, nowMs: number): void {
  const windowMs = answersAtMs.size > 0 ? ANSWERED_WINDOW_MS : CRASH_WINDOW_MS;
  for (const evidence of [crashesAtMs, answersAtMs])
    for (const [id, atMs] of evidence) if (nowMs - atMs >= windowMs) evidence.delete(id);
}

function dropOldest(records: Map<string, unknown>): void {
  if (records.size <= MAX_RECORDS) return;
  for (const oldest of records.keys()) {
    records.delete(oldest);
    return;
  }
}
