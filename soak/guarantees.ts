import { COLD_PER_SECOND, makeAnswer, type NamedRate, type TargetRun } from '../stand_in/mod.ts';

/** Guarantees that a soak checks. */
export enum Guarantee {
  AtMostOnce = 'at-most-once',
  NotRunAfterRefusal = 'true-refusal',
  CompleteAnswer = 'whole-answer',
  UnmodifiedCall = 'unchanged',
  HomeRegions = 'home-regions',
  ColdTargetRate = 'cold-rate',
  NamedTargetRate = 'named-rate',
  /** A call runs at its own pool only; addresses of ended targets are reused. */
  Pool = 'pool',
  Drain = 'drain',
  Evacuation = 'evacuation',
  /** A call that crashes its targets is soon sent to none. */
  CrashingCall = 'crashing-call',
  PlannedStop = 'planned-stop',
  Configuration = 'configuration',
  Recovery = 'recovery',
  UnexpectedExit = 'own-end',
}

/** A violation of a guarantee. */
export interface SoakFinding {
  guarantee: Guarantee;
  /** What was observed. */
  detail: string;
}

/** A call as its client observed it. */
export interface ObservedCall {
  id: string;
  method: string;
  path: string;
  bodyBytes: number;
  isSafe: boolean;
  homeRegions: readonly string[];
  /** Machine that the client called. */
  machineId: string;
  /** Pool of that machine. */
  callerPool: string;
  sentAtMs: number;
  completedAtMs: number;
  /** Status of the answer; undefined if the connection ended without one. */
  status: number | undefined;
  /** Whether the answer carries a target's signature. */
  isSigned: boolean;
  /** Body of the answer; undefined if it was truncated. */
  body: string | undefined;
  /** Whether the client did not disconnect, and neither its machine nor those that ran the call had an unplanned fault around the call. */
  wasFaultFree: boolean;
  /** Whether the machine that the client called had no unplanned fault when the call was sent, nor shortly before. */
  wasEntryFaultFree: boolean;
}

/** A run of a call at a target, with the region of the target. */
export interface ObservedRun extends TargetRun {
  region: string;
}

/** Statuses of refusals: the call has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const MS_PER_SECOND = 1_000;
/** Path of the call that crashes its targets. */
export const CRASHING_PATH = '/board/crashing';
/** Crash after which the call must no longer be sent, and later runs that are tolerated. */
const COUNTED_CRASH = 3;
const MAX_LATER_RUNS = 3;
/** Time from that crash by which all daemons know of it, in milliseconds: the sites' `stable_window`. */
const CRASH_LEARNING_MS = 4_000;
/** A cold target may get its tolerated rate times this factor, plus an allowance in calls per second. */
const COLD_RATE_FACTOR = 1.5;
const COLD_RATE_ALLOWANCE = 5;
/** Window in which the calls to a target that names a rate are counted, in milliseconds. */
const RATE_WINDOW_MS = 4_000;
/** Time for which a target may get calls at any rate after it first named one, in milliseconds. */
const RATE_LEARNING_MS = 4_000;
/** A target may get the rate that it names times this factor, plus an allowance in calls a window. */
const NAMED_RATE_FACTOR = 1.5;
const NAMED_RATE_ALLOWANCE = 5;

/**
 * Compares what clients and targets observed.
 *
 * @param calls All calls, once none of them can run any more.
 * @param runs All runs at all targets.
 * @returns The violations found.
 */
export function findViolations(
  calls: readonly ObservedCall[],
  runs: readonly ObservedRun[],
): SoakFinding[] {
  const runsByCall = new Map<string, ObservedRun[]>();
  for (const run of runs) runsByCall.set(run.callId, [...(runsByCall.get(run.callId) ?? []), run]);
  const sentCallIds = new Set(calls.map(({ id }) => id));
  const unsentRuns = runs.filter(({ callId }) => !sentCallIds.has(callId));
  return [
    ...calls.flatMap((call) => findCallViolations(call, runsByCall.get(call.id) ?? [])),
    ...unsentRuns.map((run) =>
      makeFinding(Guarantee.UnmodifiedCall, `no client sent call ${run.callId}`),
    ),
    ...findColdRateViolations(runs),
    ...findNamedRateViolations(runs),
    ...findCrashingCallViolations(calls, runs),
  ];
}

function findCallViolations(call: ObservedCall, runs: readonly ObservedRun[]): SoakFinding[] {
  const { id, status, isSafe } = call;
  const findings: SoakFinding[] = [];
  const addFinding = (guarantee: Guarantee, detail: string) => {
    findings.push(makeFinding(guarantee, `call ${id} at ${call.machineId}: ${detail}`));
  };
  if (!isSafe && runs.length > 1) addFinding(Guarantee.AtMostOnce, `ran ${runs.length} times`);
  if (!isSafe && status !== undefined && NOT_RUN_STATUSES.has(status) && runs.length > 0) {
    addFinding(Guarantee.NotRunAfterRefusal, `status ${status}, ran ${runs.length} times`);
  }
  if (status === 200 && (!call.isSigned || call.body !== makeAnswer(id, call.path))) {
    addFinding(
      Guarantee.CompleteAnswer,
      `signed ${String(call.isSigned)}, body ${call.body ?? 'cut'}`,
    );
  }
  for (const run of runs) {
    const isUnmodified =
      run.method === call.method &&
      run.path === call.path &&
      run.bodyBytes === call.bodyBytes &&
      run.callerPool === call.callerPool;
    if (!isUnmodified) addFinding(Guarantee.UnmodifiedCall, `ran as ${JSON.stringify(run)}`);
    if (call.homeRegions.length > 0 && !call.homeRegions.includes(run.region)) {
      addFinding(Guarantee.HomeRegions, `ran in ${run.region}`);
    }
  }
  if (status === undefined && call.wasFaultFree && runs.length > 0) {
    addFinding(Guarantee.PlannedStop, 'ran, and its connection ended without an answer');
  }
  return findings;
}

function findColdRateViolations(runs: readonly ObservedRun[]): SoakFinding[] {
  const limit = COLD_PER_SECOND * COLD_RATE_FACTOR + COLD_RATE_ALLOWANCE;
  const coldTimesByTarget = new Map<string, number[]>();
  for (const { targetId, atMs, isCold } of runs) {
    if (isCold) coldTimesByTarget.set(targetId, [...(coldTimesByTarget.get(targetId) ?? []), atMs]);
  }
  return [...coldTimesByTarget].flatMap(([targetId, times]) => {
    const highestRate = countMost(times, MS_PER_SECOND);
    if (highestRate <= limit) return [];
    return [
      makeFinding(
        Guarantee.ColdTargetRate,
        `cold target ${targetId} got ${highestRate} calls in a second`,
      ),
    ];
  });
}

function findNamedRateViolations(runs: readonly ObservedRun[]): SoakFinding[] {
  const runsByNaming = new Map<NamedRate, ObservedRun[]>();
  for (const run of runs) {
    if (!run.rate || run.atMs - run.rate.sinceMs < RATE_LEARNING_MS) continue;
    runsByNaming.set(run.rate, [...(runsByNaming.get(run.rate) ?? []), run]);
  }
  return [...runsByNaming].flatMap(([{ callsPerSecond }, rated]) => {
    const tolerated =
      (callsPerSecond * NAMED_RATE_FACTOR * RATE_WINDOW_MS) / MS_PER_SECOND + NAMED_RATE_ALLOWANCE;
    const highest = countMost(
      rated.map(({ atMs }) => atMs),
      RATE_WINDOW_MS,
    );
    if (highest <= tolerated) return [];
    const detail = `${rated[0]?.targetId ?? ''} names ${callsPerSecond} calls a second and got ${highest} in 4 s`;
    return [makeFinding(Guarantee.NamedTargetRate, detail)];
  });
}

function findCrashingCallViolations(
  calls: readonly ObservedCall[],
  runs: readonly ObservedRun[],
): SoakFinding[] {
  const inTouch = new Set(
    calls.filter(({ wasEntryFaultFree }) => wasEntryFaultFree).map(({ id }) => id),
  );
  const crashes = runs.filter(({ path }) => path === CRASHING_PATH);
  const countedAtMs = crashes[COUNTED_CRASH - 1]?.atMs ?? Infinity;
  const later = crashes.filter(
    ({ callId, atMs }) => atMs > countedAtMs + CRASH_LEARNING_MS && inTouch.has(callId),
  );
  if (later.length <= MAX_LATER_RUNS) return [];
  const detail = `${crashes.length} runs crashed their targets, ${later.length} of them too late`;
  return [makeFinding(Guarantee.CrashingCall, detail)];
}

/** Counts the times in the window that holds most of them. */
function countMost(times: readonly number[], windowMs: number): number {
  return Math.max(
    ...times.map((from) => times.filter((at) => at >= from && at < from + windowMs).length),
  );
}

/**
 * Makes a finding.
 *
 * @param guarantee The violated guarantee.
 * @param detail What was observed.
 * @returns The finding.
 */
export function makeFinding(guarantee: Guarantee, detail: string): SoakFinding {
  return { guarantee, detail };
}
