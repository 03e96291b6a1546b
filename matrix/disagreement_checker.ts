import type { Configuration } from '../configuration/mod.ts';
import { Outcome, Repeatability, runsAtMostOnce } from '../contract/mod.ts';
import type { ClusterCall, ClusterMember, ClusterCallResult } from '../fakes/mod.ts';
import { DefaultDialect, toProblem } from '../link/mod.ts';
import { VersionLag, LinkFault, type DisagreementCase } from './disagreement_case.ts';
import { VersionChange, routeNameOf } from './disagreement_change.ts';

/** Violations found in a case, by kind; all zero in a correct system. */
export interface DisagreementViolations {
  /**
   * Executions beyond the first of a call that runs at most once, by the version at its entry or
   * by a newer one at an executor.
   */
  doubled: number;
  /** Calls refused as not run that a target executed before or after the refusal. */
  untrue: number;
  /** Frames sent and executions outside the home regions, by the version of the deciding daemon. */
  leaked: number;
  /** Executions in a failure domain that is out of service, by the guard's version. */
  evacuated: number;
  /** Executions in a pool that does not serve the route, by the guard's version. */
  misplaced: number;
  /** Refusals with a 3xx or 4xx status of a request that the entry's version permits. */
  blamed: number;
  /** Refusals of a call that has not run, with a status that does not invite a retry. */
  final: number;
  /** Calls left unanswered by nothing but the disagreement, although time was left. */
  stranded: number;
  /** Calls that did not complete in time, and answers without an execution or of another call. */
  dropped: number;
}

/** Completion of a call as its caller saw it. */
export interface CallCompletion {
  result: ClusterCallResult;
  elapsedMs: number;
  /** Configuration of the entry at that moment; absent if it had none. */
  entryConfiguration: Configuration | undefined;
}

/** Observations of a call at the end of its case. */
export interface CallObservations {
  call: ClusterCall & { pathAndQuery: string; runId: string; deadlineMs: number };
  /** Failure domain of the entry. */
  entryDomain: string;
  /** Absent if the call has not completed. */
  completion: CallCompletion | undefined;
  /** Executions at all targets, including those after the completion. */
  runs: number;
  /** Configuration of each daemon; undefined if it has none. */
  configurations: readonly (Configuration | undefined)[];
}

/** Time after its deadline within which a call must complete, in milliseconds. */
const COMPLETION_MARGIN_MS = 200;
const WORKSPACE = 'plata';
const HOST = 'localhost';
/** Statuses by which a caller may resend its call, because it has not run. */
const RETRYABLE_STATUSES = new Set([408, 421, 429, 503]);
const DIALECT = new DefaultDialect();

/** Checks one call by what its caller and the targets observed. */
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
  /** Whether the call runs at most once by a version under which it was admitted or executed. */
  #isAtMostOnce = false;
  /** Version of the configuration at the entry when the call was made; 0 without one. */
  #admissionVersion = 0;

  /** @param testCase The case. */
  constructor(testCase: DisagreementCase) {
    this.#case = testCase;
  }

  /**
   * Records the version under which the call is admitted.
   *
   * @param configuration The entry's configuration when the call is made.
   */
  recordAdmission(configuration: Configuration | undefined): void {
    this.#admissionVersion = configuration?.version ?? 0;
    this.#recordRepeatability(configuration);
  }

  /**
   * Checks where a call frame is sent, by the sender's configuration.
   *
   * @param sender Daemon that sends the frame; undefined if its address is unknown.
   * @param receiver Daemon that the frame is sent to; undefined if its address is unknown.
   */
  recordSend(sender: ClusterMember | undefined, receiver: ClusterMember | undefined): void {
    this.#checkRegion(sender?.daemon.configuration, receiver?.instance.failureDomain ?? '');
  }

  /**
   * Checks an execution as it starts, by the configuration of its guard at that moment.
   *
   * @param executor Daemon whose target runs the call.
   */
  recordRun({ daemon, instance }: ClusterMember): void {
    const { configuration } = daemon;
    const { failureDomain, pool } = instance;
    // An older version at a guard does not override the version of the admission.
    if ((configuration?.version ?? 0) >= this.#admissionVersion)
      this.#recordRepeatability(configuration);
    const isInService = configuration?.topology.isInService(failureDomain) ?? false;
    const pools = this.#findRoute(configuration)?.pools ?? [];
    if (!isInService) this.#violations.evacuated += 1;
    this.#checkRegion(configuration, failureDomain);
    if (!pools.some((share) => share.pool === pool)) this.#violations.misplaced += 1;
  }

  /**
   * Checks how the call completed.
   *
   * @param observations What was observed of the call up to the end of its case.
   * @returns The violations found in the case.
   */
  checkCompletion(observations: CallObservations): DisagreementViolations {
    const { completion, runs } = observations;
    this.#violations.doubled = this.#isAtMostOnce ? Math.max(0, runs - 1) : 0;
    if (!completion) this.#violations.dropped += 1;
    else this.#checkResult(completion, observations);
    return this.#violations;
  }

  #checkRegion(configuration: Configuration | undefined, failureDomain: string): void {
    const region = configuration?.topology.regionOf(failureDomain);
    const route = this.#findRoute(configuration);
    if (route && !route.homeRegions.permits(region)) this.#violations.leaked += 1;
  }

  #recordRepeatability(configuration: Configuration | undefined): void {
    const route = this.#findRoute(configuration);
    this.#isAtMostOnce ||= route !== undefined && runsAtMostOnce(route);
  }

  #findRoute(configuration: Configuration | undefined) {
    return configuration?.routes.findByName(WORKSPACE, routeNameOf(this.#case.type));
  }

  #checkResult(
    { result, elapsedMs, entryConfiguration }: CallCompletion,
    observations: CallObservations,
  ): void {
    const { call, runs } = observations;
    const { outcome, refusal, text } = result;
    if (elapsedMs > call.deadlineMs + COMPLETION_MARGIN_MS) this.#violations.dropped += 1;
    if (outcome === Outcome.Answered) {
      if (runs === 0 || !text.endsWith(` ran ${call.runId}`)) this.#violations.dropped += 1;
    } else if (refusal) {
      const isPermitted = isPermittedBy(entryConfiguration, observations);
      if (outcome === Outcome.NotRun) this.#checkNotRun(runs);
      this.#checkStatus(result, isPermitted);
      if (isPermitted && this.#isStranded(outcome, observations)) this.#violations.stranded += 1;
    }
  }

  #checkNotRun(runs: number): void {
    // Guards keep no record of idempotent calls, so the copy of a frame may run after the refusal.
    const isRunByCopy = !this.#isAtMostOnce && this.#case.linkFault === LinkFault.CallDoubled;
    if (runs > 0 && !isRunByCopy) this.#violations.untrue += 1;
  }

  #checkStatus(result: ClusterCallResult, isPermitted: boolean): void {
    const status = statusOf(result);
    if (RETRYABLE_STATUSES.has(status)) return;
    const blamesRequest = status >= 300 && status < 500;
    if (blamesRequest && isPermitted) this.#violations.blamed += 1;
    if (!blamesRequest && result.outcome === Outcome.NotRun) this.#violations.final += 1;
  }

  #isStranded(outcome: Outcome, observations: CallObservations): boolean {
    const { change, lag, linkFault } = this.#case;
    if (linkFault !== LinkFault.None || change === VersionChange.JustStarted) return false;
    if (outcome === Outcome.Unknown) return true;
    return (
      lag !== VersionLag.Long &&
      isPermittedBy(findNewest(observations.configurations), observations)
    );
  }
}

/**
 * Describes how a call completed.
 *
 * @param completion Completion of the call; undefined if it has not completed.
 * @returns Outcome, reason and status.
 */
export function describeCompletion(completion: CallCompletion | undefined): string {
  if (!completion) return 'not completed';
  const { result } = completion;
  if (result.outcome === Outcome.Answered) return `answered ${statusOf(result)}`;
  return `${result.outcome} ${result.refusal?.reason ?? result.text} ${statusOf(result)}`;
}

function statusOf({ refusal, status }: ClusterCallResult): number {
  return refusal ? toProblem(refusal, '', DIALECT).status : (status ?? 0);
}

function findNewest(configurations: CallObservations['configurations']): Configuration | undefined {
  return configurations.reduce((newest, configuration) =>
    (configuration?.version ?? 0) > (newest?.version ?? 0) ? configuration : newest,
  );
}

/** Reports whether a configuration permits a call; without a configuration it is permitted. */
function isPermittedBy(
  configuration: Configuration | undefined,
  { call, entryDomain }: CallObservations,
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
