import type { Configuration } from '../configuration/mod.ts';
import { Outcome, Repeatability, runsAtMostOnce } from '../contract/mod.ts';
import type { ClusterCall, ClusterMember, ClusterCallResult } from '../fakes/mod.ts';
import { DefaultDialect, toProblem } from '../link/mod.ts';
import { Lag, LinkFault, type DisagreementCase } from './disagreement_case.ts';
import { VersionChange, routeNameOf } from './disagreement_change.ts';

/** What a case broke; all zero in a system that keeps its promises. */
export interface DisagreementViolations {
  /** Runs beyond the first of a call that its entry's version, or a newer one in play, lets run once only. */
  doubled: number;
  /** Calls refused as not run that had run, or ran later. */
  untrue: number;
  /** Frames sent, and runs, outside the home regions of the daemon that decided on them. */
  leaked: number;
  /** Runs in a failure domain that is out at the guard's own version. */
  evacuated: number;
  /** Runs by a pool that does not serve the route at the guard's own version. */
  misplaced: number;
  /** Refusals that blame a request which the entry's own version permits. */
  blamed: number;
  /** Refusals of a call that has not run, in a form that does not invite another try. */
  final: number;
  /** Calls without an answer that had the time and broke on nothing but the disagreement. */
  stranded: number;
  /** Calls without an end in time, and answers without a run or of another call. */
  dropped: number;
}

/** How a call ended for its caller. */
export interface CallCompletion {
  result: ClusterCallResult;
  elapsedMs: number;
  /** The entry's configuration at that moment. */
  entryConfiguration: Configuration | undefined;
}

/** What is known of a call once its case is over. */
export interface CallEvidence {
  call: ClusterCall & { pathAndQuery: string; runId: string; deadlineMs: number };
  /** Failure domain of the entry. */
  entryDomain: string;
  /** Absent if the caller still waits. */
  completion: CallCompletion | undefined;
  /** Runs at all targets, those after the end included. */
  runs: number;
  /** What each daemon has for its configuration. */
  configurations: readonly (Configuration | undefined)[];
}

/** Time after its deadline within which a call must have ended, in milliseconds. */
const END_MARGIN_MS = 200;
const WORKSPACE = 'plata';
const HOST = 'localhost';
/** Statuses that promise that a call has not run, so that its caller may send it again. */
const RETRYABLE_STATUSES = new Set([408, 421, 429, 503]);
const DIALECT = new DefaultDialect();

/** Judges one call by what its caller and the targets saw. */
export class DisagreementChecker {
  readonly #case: DisagreementCase;
  readonly #violations: DisagreementViolations = {
    doubled: 0,
    untrue: 0,
    leaked: 0,
    evacuated: 0,
    misplaced: 0,
    blamed: 0,
    final: 0,
    stranded: 0,
    dropped: 0,
  };
  /** Whether a version by which the call was admitted or run lets it run once only. */
  #isOnce = false;
  /** Version of the configuration at the entry when the call was made. */
  #admittedBy = 0;

  /** @param each The case. */
  constructor(each: DisagreementCase) {
    this.#case = each;
  }

  /**
   * Notes by which version the call is admitted.
   *
   * @param configuration The entry's configuration when the call is made.
   */
  recordAdmission(configuration: Configuration | undefined): void {
    this.#admittedBy = configuration?.version ?? 0;
    this.#noteRepeatability(configuration);
  }

  /**
   * Judges where a frame with the call is sent, by the sender's configuration.
   *
   * @param sender The daemon that sends it; absent if its address is unknown.
   * @param receiver The daemon that it is sent to; absent if its address is unknown.
   */
  recordSend(sender: ClusterMember | undefined, receiver: ClusterMember | undefined): void {
    this.#judgeRegion(sender?.daemon.configuration, receiver?.instance.failureDomain ?? '');
  }

  /**
   * Judges a run as it begins, by what the guard of its target knows then.
   *
   * @param executor The daemon whose target runs the call.
   */
  recordRun({ daemon, instance }: ClusterMember): void {
    const { configuration } = daemon;
    const { failureDomain, pool } = instance;
    // An older version says nothing against what a newer one permits.
    if ((configuration?.version ?? 0) >= this.#admittedBy) this.#noteRepeatability(configuration);
    const isIn = configuration?.topology.isInService(failureDomain) ?? false;
    const pools = this.#routeAt(configuration)?.pools ?? [];
    if (!isIn) this.#violations.evacuated += 1;
    this.#judgeRegion(configuration, failureDomain);
    if (!pools.some((share) => share.pool === pool)) this.#violations.misplaced += 1;
  }

  /**
   * @param evidence What is known once the case is over.
   * @returns What the case broke.
   */
  checkCompletion(evidence: CallEvidence): DisagreementViolations {
    const { completion: end, runs } = evidence;
    this.#violations.doubled = this.#isOnce ? Math.max(0, runs - 1) : 0;
    if (!end) this.#violations.dropped += 1;
    else this.#judgeEnd(end, evidence);
    return this.#violations;
  }

  #judgeRegion(configuration: Configuration | undefined, failureDomain: string): void {
    const region = configuration?.topology.regionOf(failureDomain);
    const route = this.#routeAt(configuration);
    if (route && !route.homeRegions.permits(region)) this.#violations.leaked += 1;
  }

  #noteRepeatability(configuration: Configuration | undefined): void {
    const route = this.#routeAt(configuration);
    this.#isOnce ||= route !== undefined && runsAtMostOnce(route);
  }

  #routeAt(configuration: Configuration | undefined) {
    return configuration?.routes.findByName(WORKSPACE, routeNameOf(this.#case.type));
  }

  #judgeEnd(
    { result, elapsedMs, entryConfiguration }: CallCompletion,
    evidence: CallEvidence,
  ): void {
    const { call, runs } = evidence;
    const { outcome, refusal, text } = result;
    if (elapsedMs > call.deadlineMs + END_MARGIN_MS) this.#violations.dropped += 1;
    if (outcome === Outcome.Answered) {
      if (runs === 0 || !text.endsWith(` ran ${call.runId}`)) this.#violations.dropped += 1;
    } else if (refusal) {
      const isPermitted = isPermittedBy(entryConfiguration, evidence);
      if (outcome === Outcome.NotRun) this.#judgeNotRun(runs);
      this.#judgeStatus(result, isPermitted);
      if (isPermitted && this.#isStranded(outcome, evidence)) this.#violations.stranded += 1;
    }
  }

  #judgeNotRun(runs: number): void {
    // Guards keep no record of repeatable calls, so a doubled frame of one may run after its refusal.
    const isRunByCopy = !this.#isOnce && this.#case.linkFault === LinkFault.CallDoubled;
    if (runs > 0 && !isRunByCopy) this.#violations.untrue += 1;
  }

  #judgeStatus(result: ClusterCallResult, isPermitted: boolean): void {
    const status = statusOf(result);
    if (RETRYABLE_STATUSES.has(status)) return;
    const isBlame = status >= 300 && status < 500;
    if (isBlame && isPermitted) this.#violations.blamed += 1;
    if (!isBlame && result.outcome === Outcome.NotRun) this.#violations.final += 1;
  }

  #isStranded(outcome: Outcome, evidence: CallEvidence): boolean {
    const { change, lag, linkFault: trouble } = this.#case;
    if (trouble !== LinkFault.None || change === VersionChange.JustStarted) return false;
    if (outcome === Outcome.Unknown) return true;
    return lag !== Lag.Long && isPermittedBy(newestOf(evidence.configurations), evidence);
  }
}

/**
 * @param end How a call ended; absent if it did not.
 * @returns The end in words: outcome, reason and status.
 */
export function describeCompletion(end: CallCompletion | undefined): string {
  if (!end) return 'no end';
  const { result } = end;
  if (result.outcome === Outcome.Answered) return `answered ${statusOf(result)}`;
  return `${result.outcome} ${result.refusal?.reason ?? result.text} ${statusOf(result)}`;
}

function statusOf({ refusal, status }: ClusterCallResult): number {
  return refusal ? toProblem(refusal, '', DIALECT).status : (status ?? 0);
}

function newestOf(known: CallEvidence['configurations']): Configuration | undefined {
  return known.reduce((best, each) => ((each?.version ?? 0) > (best?.version ?? 0) ? each : best));
}

/** Without a configuration nothing can be said against a call. */
function isPermittedBy(
  configuration: Configuration | undefined,
  { call, entryDomain }: CallEvidence,
): boolean {
  if (!configuration) return true;
  const { method = 'GET', pathAndQuery, key } = call;
  const request = { workspace: WORKSPACE, host: HOST, method, path: pathAndQuery };
  const found = configuration.routes.find(request);
  if (found.isErr()) return false;
  const { repeatability, homeRegions } = found.value;
  if (repeatability === Repeatability.NonIdempotent && key === undefined) return false;
  return homeRegions.permits(configuration.topology.regionOf(entryDomain));
}
