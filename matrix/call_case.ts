import { Outcome } from '../contract/mod.ts';
import {
  EXAMPLE_DOMAINS,
  InProcessCluster,
  makeExampleConfiguration,
  type FrameInTransit,
  type ClusterCall,
  type ClusterMember,
  type ClusterCallResult,
} from '../fakes/mod.ts';
import { FrameKind, type CallFrame } from '../link/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { FRAME_FAULTS, Fault, causeFault, type FaultContext, type UndoFault } from './fault.ts';
import { CallStep } from './call_step.ts';

/** Kind of call, by whether it may be executed again. */
export enum CallType {
  Keyed = 'keyed',
  /** With a key, in a workspace whose only home region is ar-norte. */
  RegionBound = 'bound',
  Idempotent = 'idempotent',
  /** Non-idempotent without a key: it runs at most once, and its caller cannot resend it. */
  Keyless = 'keyless',
}

/** One case of the fault matrix. */
export interface CallCase {
  type: CallType;
  step: CallStep;
  faults: readonly Fault[];
  seed: number;
}

/** Violations found in a case, by kind; all zero in a correct system. */
export interface CallViolations {
  /** Executions of a non-idempotent call beyond the first. */
  doubled: number;
  /** Calls that never completed, or were answered without an execution. */
  dropped: number;
  /** Calls refused as not run that a target executed before or after the refusal. */
  untrue: number;
  /** Frames of a region-bound call that were sent outside its home regions. */
  leaked: number;
  /** Answers that belong to another call, and truncated answers delivered as complete. */
  crossed: number;
}

/** Result of a case. */
export interface CallCaseResult {
  /** Outcomes of the call and of its resends, in the order of their completion. */
  outcomes: Outcome[];
  violations: CallViolations;
  /** Reasons of refusals or texts of answers, in the same order. */
  texts: string[];
}

const DELAY_MS = 2;
const SERVICE_MS = 20;
const FRAME_DELAY_MS = 700;
const RESEND_AFTER_MS = 1_500;
const OBSERVATION_MS = 40_000;
const RESEND_COUNT = 3;
const DEADLINE_MS = 1_500;
const RUN_ID = 'case';

/**
 * Runs one case on real daemons in virtual time: causes its faults at its step,
 * resends the call, and checks the results against the executions at the targets.
 *
 * @param testCase The case.
 * @returns Its result.
 */
export async function runCallCase(testCase: CallCase): Promise<CallCaseResult> {
  const caseRun = await CaseRun.start(testCase);
  return caseRun.run();
}

class CaseRun {
  readonly #case: CallCase;
  readonly #cluster: InProcessCluster;
  readonly #random: SeededRandom;
  readonly #owner: ClusterMember;
  readonly #call: ClusterCall;
  readonly #caller = new AbortController();
  readonly #results: Promise<ClusterCallResult>[] = [];
  readonly #completions: { result: ClusterCallResult; runs: number }[] = [];
  #undoFaults: UndoFault[] = [];
  #isFaultPending = false;
  #leaked = 0;
  #key: string | undefined;

  private constructor(testCase: CallCase, cluster: InProcessCluster, random: SeededRandom) {
    this.#case = testCase;
    this.#cluster = cluster;
    this.#random = random;
    this.#owner = cluster.member(
      testCase.type === CallType.RegionBound ? 'boards-norte-a' : 'boards-centro-a',
    );
    this.#call = makeCall(testCase.type);
  }

  static async start(testCase: CallCase): Promise<CaseRun> {
    const random = new SeededRandom(testCase.seed);
    const instances = ['boards', 'results'].flatMap((pool) =>
      EXAMPLE_DOMAINS.map((failureDomain) => ({ pool, failureDomain })),
    );
    const cluster = await InProcessCluster.start({
      configuration: makeExampleConfiguration(),
      instances,
      delayMs: () => DELAY_MS,
      serviceMs: () => SERVICE_MS + random.below(SERVICE_MS),
    });
    return new CaseRun(testCase, cluster, random);
  }

  async run(): Promise<CallCaseResult> {
    const { type, step } = this.#case;
    const hasKey = type === CallType.Keyed || type === CallType.RegionBound;
    const key = hasKey ? await this.#issueKey() : undefined;
    this.#cluster.network.filter = (transit) => this.#interceptFrame(transit);
    this.#isFaultPending = true;
    this.#key = key;
    if (step === CallStep.Accepted) this.#causeFaults(this.#pickExecutor());
    this.#send(this.#owner.instance.id, this.#caller);
    if (step === CallStep.Running) await this.#causeFaultsOnceRunning();
    await this.#cluster.timer.advance(RESEND_AFTER_MS);
    if (step === CallStep.Answered) this.#causeFaults(this.#findExecutor() ?? this.#pickExecutor());
    for (let resend = 0; resend < RESEND_COUNT; resend += 1) await this.#resendUnlessKnown();
    for (const undoFault of this.#undoFaults) undoFault();
    await this.#cluster.timer.advance(OBSERVATION_MS);
    return this.#conclude();
  }

  async #issueKey(): Promise<string | undefined> {
    const { nextKey } = await this.#cluster.callToCompletion(this.#owner.instance.id, this.#call);
    return nextKey;
  }

  #send(id: string, caller: AbortController): void {
    const call = { ...this.#call, key: this.#key, caller, deadlineMs: DEADLINE_MS };
    const result = this.#cluster.call(id, call);
    this.#results.push(result);
    void result.then((completed) =>
      this.#completions.push({ result: completed, runs: this.#runs }),
    );
  }

  /** Resends the call if its outcome is unknown, and always at {@linkcode CallStep.Answered}. */
  async #resendUnlessKnown(): Promise<void> {
    const last = this.#completions.at(-1)?.result;
    const isKnown = last?.outcome === Outcome.Answered || last?.outcome === Outcome.NotRun;
    if (isKnown && this.#case.step !== CallStep.Answered) return;
    this.#resend();
    await this.#cluster.timer.advance(RESEND_AFTER_MS + DEADLINE_MS);
  }

  #resend(): void {
    // A keyless call that is resent counts as a new call.
    if (this.#case.type === CallType.Keyless) return;
    const isRegionBound = this.#case.type === CallType.RegionBound;
    const others = this.#cluster.members.filter(
      ({ instance }) => instance.id !== this.#owner.instance.id,
    );
    const allowed = isRegionBound
      ? others.filter(({ instance }) => instance.failureDomain.startsWith('norte'))
      : others;
    const chosen = allowed[this.#random.below(allowed.length)];
    if (chosen) this.#send(chosen.instance.id, new AbortController());
  }

  #interceptFrame(transit: FrameInTransit): { frame: FrameInTransit['frame']; delayMs: number }[] {
    const { frame } = transit;
    this.#countLeak(transit);
    const isStep =
      (this.#case.step === CallStep.CallSent && frame.kind === FrameKind.Call) ||
      (this.#case.step === CallStep.AnswerSent && frame.kind === FrameKind.Answer);
    if (!this.#isFaultPending || !isStep) return [{ frame, delayMs: 0 }];
    const executorAddress = frame.kind === FrameKind.Call ? transit.to : transit.from;
    const executor = this.#cluster.members.find(
      ({ instance }) => instance.peerAddress === executorAddress,
    );
    if (!executor) return [{ frame, delayMs: 0 }];
    this.#causeFaults(executor);
    return this.#applyFrameFaults(transit);
  }

  #applyFrameFaults({
    frame,
  }: FrameInTransit): { frame: FrameInTransit['frame']; delayMs: number }[] {
    const { faults } = this.#case;
    if (faults.includes(Fault.FrameLost)) return [];
    const delayMs = faults.includes(Fault.FrameLate) ? FRAME_DELAY_MS : 0;
    const sent = [{ frame, delayMs }];
    if (faults.includes(Fault.FrameDoubled))
      sent.push({ frame, delayMs: delayMs + FRAME_DELAY_MS });
    return sent;
  }

  #countLeak({ frame, to }: FrameInTransit): void {
    if (this.#case.type !== CallType.RegionBound || frame.kind !== FrameKind.Call) return;
    if (isRegionBound(frame) && !to.includes('norte')) this.#leaked += 1;
  }

  async #causeFaultsOnceRunning(): Promise<void> {
    for (let waitedMs = 0; waitedMs < DEADLINE_MS && !this.#findExecutor(); waitedMs += 1) {
      await this.#cluster.timer.advance(1);
    }
    this.#causeFaults(this.#findExecutor() ?? this.#pickExecutor());
  }

  #causeFaults(executor: ClusterMember): void {
    if (!this.#isFaultPending) return;
    this.#isFaultPending = false;
    const context: FaultContext = {
      cluster: this.#cluster,
      owner: this.#owner,
      executor,
      random: this.#random,
      disconnect: () => {
        this.#caller.abort();
      },
      resend: () => {
        this.#resend();
      },
    };
    const faults = this.#case.faults.filter((fault) => !FRAME_FAULTS.has(fault));
    this.#undoFaults = faults.map((fault) => causeFault(fault, context));
  }

  #findExecutor(): ClusterMember | undefined {
    return this.#cluster.members.find(({ target }) => target.runs > 0);
  }

  #pickExecutor(): ClusterMember {
    const pool = this.#case.type === CallType.Idempotent ? 'boards' : 'results';
    const region = this.#case.type === CallType.RegionBound ? 'norte' : '';
    const executors = this.#cluster.members.filter(
      ({ instance }) => instance.pool === pool && instance.failureDomain.includes(region),
    );
    return executors[this.#random.below(executors.length)] ?? this.#owner;
  }

  get #runs(): number {
    return this.#cluster.runs.get(RUN_ID) ?? 0;
  }

  #conclude(): CallCaseResult {
    const isRepeatable = this.#case.type === CallType.Idempotent;
    const results = this.#completions.map(({ result }) => result);
    const answered = results.filter(({ outcome }) => outcome === Outcome.Answered);
    const isLast = (index: number) => index === this.#completions.length - 1;
    const untrue = this.#completions.filter(({ result, runs }, index) => {
      if (result.outcome !== Outcome.NotRun) return false;
      return runs > 0 || (isLast(index) && this.#runs > 0);
    });
    const violations: CallViolations = {
      doubled: isRepeatable ? 0 : Math.max(0, this.#runs - 1),
      dropped:
        this.#results.length -
        this.#completions.length +
        (answered.length > 0 && this.#runs === 0 ? 1 : 0),
      untrue: isRepeatable ? 0 : untrue.length,
      leaked: this.#leaked,
      crossed: answered.filter(({ text }) => !text.endsWith(` ran ${RUN_ID}`)).length,
    };
    return {
      outcomes: results.map(({ outcome }) => outcome),
      violations,
      texts: results.map(({ text }) => text),
    };
  }
}

function makeCall(type: CallType): ClusterCall {
  if (type === CallType.Idempotent) return { pathAndQuery: '/boards/3', runId: RUN_ID };
  if (type === CallType.Keyless) {
    return { method: 'POST', pathAndQuery: '/entries', body: '1-0', runId: RUN_ID };
  }
  const workspace = type === CallType.RegionBound ? 'norte-club' : 'plata';
  return { method: 'POST', pathAndQuery: '/results', body: '1-0', runId: RUN_ID, workspace };
}

function isRegionBound({ workspace }: CallFrame): boolean {
  return workspace === 'norte-club';
}
