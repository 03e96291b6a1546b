import {
  NetworkPathState,
  InProcessCluster,
  type FrameInTransit,
  type ClusterMember,
} from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { Lag, ChangeTiming, LinkFault, type DisagreementCase } from './disagreement_case.ts';
import {
  VersionChange,
  DisagreementCallType,
  ENTRY_POOL,
  changeInstances,
  poolOf,
  requestOf,
  makeVersions,
} from './disagreement_change.ts';
import {
  DisagreementChecker,
  describeCompletion,
  type CallCompletion,
  type DisagreementViolations,
} from './disagreement_checker.ts';

/** How a case ended. */
export interface DisagreementResult {
  /** What the caller got. */
  completion: string;
  runs: number;
  violations: DisagreementViolations;
  /** Configuration versions that frames carried, then the daemons' lines about the call. */
  trace: string[];
}

/** One-way delay of each link, in milliseconds. */
const DELAY_MS = 2;
/** Span of moments at which a case begins, in milliseconds. */
const START_SPAN_MS = 2_000;
/** Time that a target takes for the call, in milliseconds. */
const SERVICE_MS = 20;
/** The same where the change comes while the target runs the call, in milliseconds. */
const LONG_SERVICE_MS = 400;
/** Time that the caller gives the call, in milliseconds. */
const DEADLINE_MS = 1_500;
/** Time for the newer side to learn of the change, in milliseconds. */
const SPREAD_MS = 500;
/** Lag that leaves the call time once both sides agree, in milliseconds. */
const SHORT_LAG_MS = 300;
/** Lag that outlasts the call's deadline, in milliseconds. */
const LONG_LAG_MS = 2_500;
/** Delay of the copy of a doubled frame, in milliseconds. */
const COPY_DELAY_MS = 700;
/** Delay of a frame during which all learn of the change, in milliseconds. */
const UNDER_WAY_MS = 400;
/** Time from the start of a long run to {@linkcode LinkFault.LinkCut}, in milliseconds. */
const LINK_CUT_AFTER_MS = 300;
/** Longer than the call's deadline, in milliseconds. */
const LINK_CUT_MS = 3_000;
/** Time from the first frame's arrival to {@linkcode LinkFault.CallCut}, in milliseconds. */
const CALL_CUT_AFTER_MS = 60;
/** Much shorter than the call's deadline, in milliseconds. */
const CALL_CUT_MS = 100;
/** Time that a case goes on after the call was made, so that late runs are seen, in milliseconds. */
const END_MS = 7_000;
const RUN_ID = 'case';
const GUARD_DOMAINS = ['centro-a', 'norte-a', 'norte-b'];
/** The entry stands in a failure domain of its own, so that no daemon near by tells it versions. */
const ENTRY = { id: ENTRY_POOL, pool: ENTRY_POOL, failureDomain: 'centro-b' };
/** Owner of keys among the guards; its target is of the pool that serves no calls under keys. */
const OTHER_OWNER = 'boards-norte-b';
/** Guard domain in the entry's region. */
const NEAREST_DOMAIN = 'centro-a';

/**
 * Makes a call while its entry and the guards know different versions, and
 * judges by what the caller and the targets saw.
 *
 * @param each The case.
 * @returns How it ended.
 */
export async function runDisagreementCase(each: DisagreementCase): Promise<DisagreementResult> {
  const run = await DisagreementRun.start(each);
  return run.play();
}

class DisagreementRun {
  readonly #case: DisagreementCase;
  readonly #world: InProcessCluster;
  readonly #judge: DisagreementChecker;
  readonly #versions: string[] = [];
  #key: string | undefined;
  #end: CallCompletion | undefined;
  #callFrames = 0;
  /** When both sides know of the change. */
  #releaseMs = 0;

  private constructor(each: DisagreementCase, world: InProcessCluster) {
    this.#case = each;
    this.#world = world;
    this.#judge = new DisagreementChecker(each);
  }

  static async start(each: DisagreementCase): Promise<DisagreementRun> {
    const placings = ['boards', 'results'].flatMap((pool) =>
      GUARD_DOMAINS.map((failureDomain) => ({ pool, failureDomain })),
    );
    const isLong = each.timing === ChangeTiming.WhileRunning;
    const started: { run?: DisagreementRun } = {};
    const world = await InProcessCluster.start({
      configuration: makeVersions(each.change, each.type).before,
      instances: [ENTRY, ...placings],
      delayMs: () => DELAY_MS,
      serviceMs: () => (isLong ? LONG_SERVICE_MS : SERVICE_MS),
      onRun: (_, id) => started.run?.onRun(id),
    });
    await world.timer.advance(new SeededRandom(each.seed).below(START_SPAN_MS));
    started.run = new DisagreementRun(each, world);
    return started.run;
  }

  async play(): Promise<DisagreementResult> {
    const { timing: order, type } = this.#case;
    const { timer } = this.#world;
    if (type === DisagreementCallType.Keyed) this.#key = await this.#issueKey(ENTRY.id);
    if (type === DisagreementCallType.KeyedElsewhere) this.#key = await this.#issueKey(OTHER_OWNER);
    this.#world.network.filter = (transit) => this.#filter(transit);
    if (order === ChangeTiming.EntryNewer || order === ChangeTiming.GuardsNewer)
      await this.#holdApart();
    this.#send();
    // What the entry refuses at once, it refuses by the version before.
    await timer.advance(DELAY_MS);
    if (order === ChangeTiming.CallInFlight) this.#publish();
    await timer.advance(END_MS);
    return this.#conclude();
  }

  /** Judges a run and causes what a case sets off by its first one. */
  onRun(id: string): void {
    const executor = this.#world.member(id);
    this.#judge.recordRun(executor);
    const isFirst = this.#runs === 1;
    if (isFirst && this.#case.timing === ChangeTiming.WhileRunning) this.#publish();
    if (isFirst && this.#case.linkFault === LinkFault.LinkCut) {
      const isLong = this.#case.timing === ChangeTiming.WhileRunning;
      this.#cut(executor.instance.peerAddress, isLong ? LINK_CUT_AFTER_MS : 0, LINK_CUT_MS);
    }
  }

  get #entry(): ClusterMember {
    return this.#world.member(ENTRY.id);
  }

  get #guards(): ClusterMember[] {
    return this.#world.members.filter(({ instance }) => instance.id !== ENTRY.id);
  }

  get #runs(): number {
    return this.#world.runs.get(RUN_ID) ?? 0;
  }

  /** A call without a key is refused, and its refusal brings a key to send it again under. */
  async #issueKey(ownerId: string): Promise<string | undefined> {
    const request = requestOf(this.#case.type);
    const { nextKey } = await this.#world.callToCompletion(ownerId, { ...request, runId: RUN_ID });
    return nextKey;
  }

  get #call() {
    const request = requestOf(this.#case.type);
    return { ...request, runId: RUN_ID, key: this.#key, deadlineMs: DEADLINE_MS };
  }

  /** Has one side learn of the change while the other learns nothing. */
  async #holdApart(): Promise<void> {
    const { change, timing: order, lag } = this.#case;
    const { timer, withheldFrom: withheld } = this.#world;
    const lagMs = lag === Lag.Short ? SHORT_LAG_MS : LONG_LAG_MS;
    this.#releaseMs = timer.now() + SPREAD_MS + lagMs;
    const older = order === ChangeTiming.EntryNewer ? this.#guards : [this.#entry];
    for (const { instance } of older) withheld.add(instance.id);
    if (change === VersionChange.JustStarted || change === VersionChange.NearestStarted)
      this.#restart(older);
    else this.#publish();
    await timer.advance(SPREAD_MS);
    // The older side never hears from the platform again, only from the other side.
    if (change === VersionChange.CutOff) return;
    timer.after(lagMs, () => {
      withheld.clear();
    });
  }

  /** Leaves daemons from which documents are withheld without any configuration. */
  #restart(members: readonly ClusterMember[]): void {
    const { change, type } = this.#case;
    for (const { instance } of members) {
      const { id, pool, failureDomain } = instance;
      const isGuard = pool === poolOf(type);
      const isChosen = change !== VersionChange.NearestStarted || failureDomain === NEAREST_DOMAIN;
      if (id === ENTRY.id || (isGuard && isChosen)) this.#world.restartDaemon(id);
    }
  }

  /** Makes the change; every daemon that nothing is withheld from learns of it. */
  #publish(): void {
    const { change, type } = this.#case;
    const { platform, members } = this.#world;
    const { before, after } = makeVersions(change, type);
    if (after !== before) platform.publish(after);
    const listed = changeInstances(
      change,
      members.map(({ instance }) => instance),
    );
    if (listed) platform.setInstances(listed);
  }

  #send(): void {
    const startMs = this.#world.timer.now();
    this.#judge.recordAdmission(this.#entry.daemon.configuration);
    void this.#world.call(ENTRY.id, this.#call).then((result) => {
      const elapsedMs = this.#world.timer.now() - startMs;
      const entryConfiguration = this.#entry.daemon.configuration;
      this.#end = { result, elapsedMs, entryConfiguration };
    });
  }

  /** Withholds documents from the older side and causes the trouble of the case. */
  #filter(transit: FrameInTransit): { frame: FrameInTransit['frame']; delayMs: number }[] {
    const { frame } = transit;
    this.#traceVersion(transit);
    if (frame.kind === FrameKind.Document) {
      return [{ frame, delayMs: this.#isWithheldFrom(transit) ? this.#untilReleaseMs : 0 }];
    }
    if (frame.kind !== FrameKind.Call) return [{ frame, delayMs: 0 }];
    this.#callFrames += 1;
    this.#judge.recordSend(this.#memberAt(transit.from), this.#memberAt(transit.to));
    const isFirst = this.#callFrames === 1;
    const delayMs = isFirst && this.#case.timing === ChangeTiming.CallInFlight ? UNDER_WAY_MS : 0;
    const sent = [{ frame, delayMs }];
    if (isFirst && this.#case.linkFault === LinkFault.CallCut) {
      this.#cut(transit.to, delayMs + CALL_CUT_AFTER_MS, CALL_CUT_MS);
    }
    const isDoubled = isFirst && this.#case.linkFault === LinkFault.CallDoubled;
    if (isDoubled) sent.push({ frame, delayMs: delayMs + COPY_DELAY_MS });
    return sent;
  }

  #traceVersion({ frame, from, to }: FrameInTransit): void {
    if (!('version' in frame)) return;
    const text = `${from} to ${to}: ${FrameKind[frame.kind]} version=${frame.version}`;
    this.#versions.push(`${this.#world.timer.now()} ms ${text}`);
  }

  /** Daemons also pass documents on to each other, which the platform's withholding does not stop. */
  #isWithheldFrom({ from, to }: FrameInTransit): boolean {
    const entry = this.#entry.instance.peerAddress;
    const isBetweenSides = from === entry || to === entry;
    if (this.#case.change === VersionChange.CutOff && isBetweenSides) return false;
    const receiver = this.#memberAt(to);
    return receiver !== undefined && this.#world.withheldFrom.has(receiver.instance.id);
  }

  get #untilReleaseMs(): number {
    return Math.max(0, this.#releaseMs - this.#world.timer.now());
  }

  #memberAt(address: string): ClusterMember | undefined {
    return this.#world.members.find(({ instance }) => instance.peerAddress === address);
  }

  /** Breaks the link between the entry and an executor for a time. */
  #cut(executor: string, afterMs: number, durationMs: number): void {
    const { network, timer } = this.#world;
    const entry = this.#entry.instance.peerAddress;
    timer.after(afterMs, () => {
      network.setPathState(entry, executor, NetworkPathState.Cut);
      timer.after(durationMs, () => {
        network.setPathState(entry, executor, NetworkPathState.Up);
      });
    });
  }

  #conclude(): DisagreementResult {
    const violations = this.#judge.checkCompletion({
      call: this.#call,
      entryDomain: ENTRY.failureDomain,
      completion: this.#end,
      runs: this.#runs,
      configurations: this.#world.members.map(({ daemon }) => daemon.configuration),
    });
    return {
      completion: describeCompletion(this.#end),
      runs: this.#runs,
      violations,
      trace: this.#trace(),
    };
  }

  #trace(): string[] {
    const lines = this.#world.members.flatMap(({ instance, log }) =>
      log.lines().map((line) => `${instance.id} ${line}`),
    );
    return [...this.#versions, ...lines.filter((line) => line.includes(' call='))];
  }
}
