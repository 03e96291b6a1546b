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

/** Whether the call of a case may be executed again. */
export enum CallType {
  Keyed = 'keyed',
  RegionBound = 'bound',
  Idempotent = 'idempotent',
  /** Runs at most once, and its caller cannot ask again. */
  Keyless = 'keyless',
}

/** One case of the fault matrix. */
export interface CallCase {
  type: CallType;
  step: CallStep;
  faults: readonly Fault[];
  seed: number;
}

/** What a case broke; all zero in a system that keeps its promises. */
export interface CallViolations {
  /** Runs beyond the first of a non-idempotent call. */
  doubled: number;
  /** Calls without an end, or answered without a run. */
  dropped: number;
  /** Calls refused as not run that had run, or ran later. */
  untrue: number;
  /** Frames of a bound call that left its home regions. */
  leaked: number;
  /** Answers of another call, or cut ones that were passed off as whole. */
  crossed: number;
}

/** How a case ended. */
export interface CallCaseResult {
  /** Ends of the call and of its resends, in order. */
  outcomes: Outcome[];
  violations: CallViolations;
  /** Reasons or answers, in order. */
  texts: string[];
}

const DELAY_MS = 2;
const SERVICE_MS = 20;
const LATE_MS = 700;
const RESEND_AFTER_MS = 1_500;
const END_MS = 40_000;
const RESENDS = 3;
const DEADLINE_MS = 1_500;
const RUN_ID = 'case';

/**
 * Runs one case: real daemons, virtual time, a fault at a step, resends by the
 * caller, and a judgement by what the targets saw.
 *
 * @param each The case.
 * @returns How it ended.
 */
export async function runCallCase(each: CallCase): Promise<CallCaseResult> {
  const run = await CaseRun.start(each);
  return run.play();
}

class CaseRun {
  readonly #case: CallCase;
  readonly #world: InProcessCluster;
  readonly #random: SeededRandom;
  readonly #owner: ClusterMember;
  readonly #call: ClusterCall;
  readonly #caller = new AbortController();
  readonly #results: Promise<ClusterCallResult>[] = [];
  readonly #ends: { result: ClusterCallResult; runs: number }[] = [];
  #heals: UndoFault[] = [];
  #isArmed = false;
  #leaked = 0;
  #key: string | undefined;

  private constructor(each: CallCase, world: InProcessCluster, random: SeededRandom) {
    this.#case = each;
    this.#world = world;
    this.#random = random;
    this.#owner = world.member(
      each.type === CallType.RegionBound ? 'boards-norte-a' : 'boards-centro-a',
    );
    this.#call = callOf(each.type);
  }

  static async start(each: CallCase): Promise<CaseRun> {
    const random = new SeededRandom(each.seed);
    const placings = ['boards', 'results'].flatMap((pool) =>
      EXAMPLE_DOMAINS.map((failureDomain) => ({ pool, failureDomain })),
    );
    const world = await InProcessCluster.start({
      configuration: makeExampleConfiguration(),
      instances: placings,
      delayMs: () => DELAY_MS,
      serviceMs: () => SERVICE_MS + random.below(SERVICE_MS),
    });
    return new CaseRun(each, world, random);
  }

  async play(): Promise<CallCaseResult> {
    const { type, step } = this.#case;
    const hasKey = type === CallType.Keyed || type === CallType.RegionBound;
    const key = hasKey ? await this.#issueKey() : undefined;
    this.#world.network.filter = (transit) => this.#filter(transit);
    this.#isArmed = true;
    this.#key = key;
    if (step === CallStep.Accepted) this.#cause(this.#anyExecutor());
    this.#send(this.#owner.instance.id, this.#caller);
    if (step === CallStep.Running) await this.#causeOnceRunning();
    await this.#world.timer.advance(RESEND_AFTER_MS);
    if (step === CallStep.Answered) this.#cause(this.#ranAt() ?? this.#anyExecutor());
    for (let resend = 0; resend < RESENDS; resend += 1) await this.#resendUntilKnown();
    for (const heal of this.#heals) heal();
    await this.#world.timer.advance(END_MS);
    return this.#judge();
  }

  async #issueKey(): Promise<string | undefined> {
    const { nextKey } = await this.#world.callToCompletion(this.#owner.instance.id, this.#call);
    return nextKey;
  }

  #send(id: string, caller: AbortController): void {
    const call = { ...this.#call, key: this.#key, caller, deadlineMs: DEADLINE_MS };
    const result = this.#world.call(id, call);
    this.#results.push(result);
    void result.then((ended) => this.#ends.push({ result: ended, runs: this.#runs }));
  }

  /** A caller resends as long as it does not know how its call ended. */
  async #resendUntilKnown(): Promise<void> {
    const last = this.#ends.at(-1)?.result;
    const isKnown = last?.outcome === Outcome.Answered || last?.outcome === Outcome.NotRun;
    if (isKnown && this.#case.step !== CallStep.Answered) return;
    this.#resend();
    await this.#world.timer.advance(RESEND_AFTER_MS + DEADLINE_MS);
  }

  #resend(): void {
    // Sent again, a keyless call would be another call.
    if (this.#case.type === CallType.Keyless) return;
    const isBound = this.#case.type === CallType.RegionBound;
    const others = this.#world.members.filter(
      ({ instance }) => instance.id !== this.#owner.instance.id,
    );
    const allowed = isBound
      ? others.filter(({ instance }) => instance.failureDomain.startsWith('norte'))
      : others;
    const chosen = allowed[this.#random.below(allowed.length)];
    if (chosen) this.#send(chosen.instance.id, new AbortController());
  }

  #filter(transit: FrameInTransit): { frame: FrameInTransit['frame']; delayMs: number }[] {
    const { frame } = transit;
    this.#countLeak(transit);
    const isStep =
      (this.#case.step === CallStep.CallSent && frame.kind === FrameKind.Call) ||
      (this.#case.step === CallStep.AnswerSent && frame.kind === FrameKind.Answer);
    if (!this.#isArmed || !isStep) return [{ frame, delayMs: 0 }];
    const executorAddress = frame.kind === FrameKind.Call ? transit.to : transit.from;
    const executor = this.#world.members.find(
      ({ instance }) => instance.peerAddress === executorAddress,
    );
    if (!executor) return [{ frame, delayMs: 0 }];
    this.#cause(executor);
    return this.#frameFaults(transit);
  }

  #frameFaults({ frame }: FrameInTransit): { frame: FrameInTransit['frame']; delayMs: number }[] {
    const { faults } = this.#case;
    if (faults.includes(Fault.FrameLost)) return [];
    const late = faults.includes(Fault.FrameLate) ? LATE_MS : 0;
    const sent = [{ frame, delayMs: late }];
    if (faults.includes(Fault.FrameDoubled)) sent.push({ frame, delayMs: late + LATE_MS });
    return sent;
  }

  #countLeak({ frame, to }: FrameInTransit): void {
    if (this.#case.type !== CallType.RegionBound || frame.kind !== FrameKind.Call) return;
    if (isOfBound(frame) && !to.includes('norte')) this.#leaked += 1;
  }

  async #causeOnceRunning(): Promise<void> {
    for (let waited = 0; waited < DEADLINE_MS && !this.#ranAt(); waited += 1) {
      await this.#world.timer.advance(1);
    }
    this.#cause(this.#ranAt() ?? this.#anyExecutor());
  }

  #cause(executor: ClusterMember): void {
    if (!this.#isArmed) return;
    this.#isArmed = false;
    const scene: FaultContext = {
      world: this.#world,
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
    this.#heals = faults.map((fault) => causeFault(fault, scene));
  }

  #ranAt(): ClusterMember | undefined {
    return this.#world.members.find(({ target }) => target.runs > 0);
  }

  #anyExecutor(): ClusterMember {
    const pool = this.#case.type === CallType.Idempotent ? 'boards' : 'results';
    const region = this.#case.type === CallType.RegionBound ? 'norte' : '';
    const executors = this.#world.members.filter(
      ({ instance }) => instance.pool === pool && instance.failureDomain.includes(region),
    );
    return executors[this.#random.below(executors.length)] ?? this.#owner;
  }

  get #runs(): number {
    return this.#world.runs.get(RUN_ID) ?? 0;
  }

  #judge(): CallCaseResult {
    const isRepeatable = this.#case.type === CallType.Idempotent;
    const ends = this.#ends.map(({ result }) => result);
    const answered = ends.filter(({ outcome }) => outcome === Outcome.Answered);
    const isLast = (index: number) => index === this.#ends.length - 1;
    const untrue = this.#ends.filter(({ result, runs }, index) => {
      if (result.outcome !== Outcome.NotRun) return false;
      return runs > 0 || (isLast(index) && this.#runs > 0);
    });
    const violations: CallViolations = {
      doubled: isRepeatable ? 0 : Math.max(0, this.#runs - 1),
      dropped:
        this.#results.length -
        this.#ends.length +
        (answered.length > 0 && this.#runs === 0 ? 1 : 0),
      untrue: isRepeatable ? 0 : untrue.length,
      leaked: this.#leaked,
      crossed: answered.filter(({ text }) => !text.endsWith(` ran ${RUN_ID}`)).length,
    };
    return {
      outcomes: ends.map(({ outcome }) => outcome),
      violations,
      texts: ends.map(({ text }) => text),
    };
  }
}

function callOf(type: CallType): ClusterCall {
  if (type === CallType.Idempotent) return { pathAndQuery: '/boards/3', runId: RUN_ID };
  if (type === CallType.Keyless) {
    return { method: 'POST', pathAndQuery: '/entries', body: '1-0', runId: RUN_ID };
  }
  const workspace = type === CallType.RegionBound ? 'norte-club' : 'plata';
  return { method: 'POST', pathAndQuery: '/results', body: '1-0', runId: RUN_ID, workspace };
}

function isOfBound({ workspace }: CallFrame): boolean {
  return workspace === 'norte-club';
}
