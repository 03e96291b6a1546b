import { COLD_PER_SECOND, makeAnswer, type TargetRun } from '../stand_in/mod.ts';

/** What callers were promised, and what a finding breaks. */
export enum Guarantee {
  AtMostOnce = 'at-most-once',
  NotRunAfterRefusal = 'true-refusal',
  CompleteAnswer = 'whole-answer',
  UnmodifiedCall = 'unchanged',
  HomeRegions = 'home-regions',
  ColdTargetRate = 'cold-rate',
  Drain = 'drain',
  Evacuation = 'evacuation',
  PlannedStop = 'planned-stop',
  Configuration = 'configuration',
  Recovery = 'recovery',
  UnexpectedExit = 'own-end',
}

/** A promise that was broken, with what was seen. */
export interface SoakFinding {
  guarantee: Guarantee;
  detail: string;
}

/** One call as its client saw it. */
export interface ObservedCall {
  id: string;
  method: string;
  path: string;
  bodyBytes: number;
  isSafe: boolean;
  homeRegions: readonly string[];
  /** Machine that the client called, and the pool there. */
  machineId: string;
  callerPool: string;
  sentAtMs: number;
  completedAtMs: number;
  /** Status of the answer; nothing if the connection ended without one. */
  status: number | undefined;
  /** Whether the answer bears a target's signature. */
  isSigned: boolean;
  /** Body of the answer; nothing if it was cut. */
  body: string | undefined;
  /** Whether neither the client's machine nor the executing one was harmed around the call. */
  wasFaultFree: boolean;
}

/** A run with the place of its target. */
export interface ObservedRun extends TargetRun {
  region: string;
}

/** Statuses that say that a call has not run and never will. */
const PROMISES_NOT_RUN = new Set([408, 421, 429, 503]);
const MS_PER_SECOND = 1_000;
/** Calls beyond the tolerated rate that a cold target may get in a second, by factor and number. */
const COLD_OVERSHOOT = 1.5;
const COLD_SLACK = 5;

/**
 * @param calls Every call, once none can run any more.
 * @param runs Every run at any target.
 * @returns The broken promises that calls and runs show together.
 */
export function findViolations(
  calls: readonly ObservedCall[],
  runs: readonly ObservedRun[],
): SoakFinding[] {
  const byCall = new Map<string, ObservedRun[]>();
  for (const run of runs) byCall.set(run.callId, [...(byCall.get(run.callId) ?? []), run]);
  const known = new Set(calls.map(({ id }) => id));
  const strays = runs.filter(({ callId }) => !known.has(callId));
  return [
    ...calls.flatMap((call) => judgeCall(call, byCall.get(call.id) ?? [])),
    ...strays.map((run) => makeFinding(Guarantee.UnmodifiedCall, `nobody sent call ${run.callId}`)),
    ...judgeColdRate(runs),
  ];
}

function judgeCall(call: ObservedCall, runs: readonly ObservedRun[]): SoakFinding[] {
  const { id, status, isSafe } = call;
  const findings: SoakFinding[] = [];
  const add = (promised: Guarantee, detail: string) => {
    findings.push(makeFinding(promised, `call ${id} at ${call.machineId}: ${detail}`));
  };
  if (!isSafe && runs.length > 1) add(Guarantee.AtMostOnce, `ran ${runs.length} times`);
  if (!isSafe && status !== undefined && PROMISES_NOT_RUN.has(status) && runs.length > 0) {
    add(Guarantee.NotRunAfterRefusal, `status ${status}, ran ${runs.length} times`);
  }
  if (status === 200 && (!call.isSigned || call.body !== makeAnswer(id, call.path))) {
    add(Guarantee.CompleteAnswer, `signed ${String(call.isSigned)}, body ${call.body ?? 'cut'}`);
  }
  for (const run of runs) {
    const isSame =
      run.method === call.method &&
      run.path === call.path &&
      run.bodyBytes === call.bodyBytes &&
      run.callerPool === call.callerPool;
    if (!isSame) add(Guarantee.UnmodifiedCall, `ran as ${JSON.stringify(run)}`);
    if (call.homeRegions.length > 0 && !call.homeRegions.includes(run.region)) {
      add(Guarantee.HomeRegions, `ran in ${run.region}`);
    }
  }
  if (status === undefined && call.wasFaultFree && runs.length > 0) {
    add(Guarantee.PlannedStop, 'ran, and its connection ended without an answer');
  }
  return findings;
}

function judgeColdRate(runs: readonly ObservedRun[]): SoakFinding[] {
  const limit = COLD_PER_SECOND * COLD_OVERSHOOT + COLD_SLACK;
  const byTarget = new Map<string, number[]>();
  for (const { targetId, atMs, isCold } of runs) {
    if (isCold) byTarget.set(targetId, [...(byTarget.get(targetId) ?? []), atMs]);
  }
  return [...byTarget].flatMap(([targetId, times]) => {
    const most = Math.max(
      ...times.map((from) => times.filter((at) => at >= from && at < from + MS_PER_SECOND).length),
    );
    if (most <= limit) return [];
    return [
      makeFinding(
        Guarantee.ColdTargetRate,
        `cold target ${targetId} got ${most} calls in a second`,
      ),
    ];
  });
}

/**
 * @param promised The broken promise.
 * @param detail What was seen.
 * @returns The finding.
 */
export function makeFinding(promised: Guarantee, detail: string): SoakFinding {
  return { guarantee: promised, detail };
}
