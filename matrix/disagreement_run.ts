import {
  NetworkPathState,
  InProcessCluster,
  type FrameInTransit,
  type ClusterMember,
} from '../fakes/mod.ts';
import { FrameKind } from '../link/mod.ts';
import { SeededRandom } from '../random/mod.ts';
import { VersionLag, ChangeTiming, LinkFault, type DisagreementCase } from './disagreement_case.ts';
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

/** Result of a case. */
export interface DisagreementResult {
  /** Outcome, reason and status that the caller got. */
  completion: string;
  runs: number;
  violations: DisagreementViolations;
  /** Configuration versions that frames carried, then log lines of the daemons about the call. */
  trace: string[];
}

/** One-way delay of each link, in milliseconds. */
const DELAY_MS = 2;
/** Range of the start time of a case, in milliseconds. */
const START_SPAN_MS = 2_000;
/** Time that a target takes for the call, in milliseconds. */
const SERVICE_MS = 20;
/** Time that a target takes with {@linkcode ChangeTiming.WhileRunning}, in milliseconds. */
const LONG_SERVICE_MS = 400;
/** Deadline of the call from its start, in milliseconds. */
const DEADLINE_MS = 1_500;
/** Time for the newer side to learn of the change, in milliseconds. */
const DISTRIBUTION_MS = 500;
/** Lag after which both sides agree before the deadline, in milliseconds. */
const SHORT_LAG_MS = 300;
/** Lag longer than the deadline, in milliseconds. */
const LONG_LAG_MS = 2_500;
/** Delay of the copy of a doubled frame, in milliseconds. */
const COPY_DELAY_MS = 700;
/** Delay of a call frame with {@linkcode ChangeTiming.CallInFlight}, in milliseconds. */
const IN_FLIGHT_MS = 400;
/** Time from the start of a long execution to {@linkcode LinkFault.LinkCut}, in milliseconds. */
const LINK_CUT_AFTER_MS = 300;
/** Duration of {@linkcode LinkFault.LinkCut}, longer than the deadline, in milliseconds. */
const LINK_CUT_MS = 3_000;
/** Time from the first frame's arrival to {@linkcode LinkFault.CallCut}, in milliseconds. */
const CALL_CUT_AFTER_MS = 60;
/** Duration of {@linkcode LinkFault.CallCut}, much shorter than the deadline, in milliseconds. */
const CALL_CUT_MS = 100;
/** Time from the call to the end of the case, long enough for late executions, in milliseconds. */
const OBSERVATION_MS = 7_000;
const RUN_ID = 'case';
const GUARD_DOMAINS = ['centro-a', 'norte-a', 'norte-b'];
/** The entry is alone in its failure domain, so that it gets no versions from a daemon near by. */
const ENTRY = { id: ENTRY_POOL, pool: ENTRY_POOL, failureDomain: 'centro-b' };
/** Key owner among the guards; its target is in a pool that serves no calls with keys. */
const OTHER_KEY_OWNER = 'boards-norte-b';
/** Failure domain of guards in the region of the entry. */
const NEAREST_DOMAIN = 'centro-a';

/**
 * Makes a call while its entry and the guards know different versions, and
 * checks what the caller and the targets observed.
 *
 * @param testCase The case.
 * @returns Its result.
 */
export async function runDisagreementCase(testCase: DisagreementCase): Promise<DisagreementResult> {
  const disagreementRun = await DisagreementRun.start(testCase);
  return disagreementRun.run();
}

class DisagreementRun {
  readonly #case: DisagreementCase;
  readonly #cluster: InProcessCluster;
  readonly #checker: DisagreementChecker;
  readonly #versionTrace: string[] = [];
  #key: string | undefined;
  #completion: CallCompletion | undefined;
  #callFrameCount = 0;
  /** Time at which documents are no longer withheld, in milliseconds. */
  #releaseMs = 0;

  private constructor(testCase: DisagreementCase, cluster: InProcessCluster) {
    this.#case = testCase;
    this.#cluster = cluster;
    this.#checker = new DisagreementChecker(testCase);
  }

  static async start(testCase: DisagreementCase): Promise<DisagreementRun> {
    const guards = ['boards', 'results'].flatMap((pool) =>
      GUARD_DOMAINS.map((failureDomain) => ({ pool, failureDomain })),
    );
    const isLong = testCase.timing === ChangeTiming.WhileRunning;
    const started: { run?: DisagreementRun } = {};
    const cluster = await InProcessCluster.start({
      configuration: makeVersions(testCase.change, testCase.type).before,
      instances: [ENTRY, ...guards],
      delayMs: () => DELAY_MS,
      serviceMs: () => (isLong ? LONG_SERVICE_MS : SERVICE_MS),
      onRun: (_, id) => started.run?.onRun(id),
    });
    await cluster.timer.advance(new SeededRandom(testCase.seed).below(START_SPAN_MS));
    started.run = new DisagreementRun(testCase, cluster);
    return started.run;
  }

  async run(): Promise<DisagreementResult> {
    const { timing, type } = this.#case;
    const { timer } = this.#cluster;
    if (type === DisagreementCallType.Keyed) this.#key = await this.#issueKey(ENTRY.id);
    if (type === DisagreementCallType.KeyedElsewhere)
      this.#key = await this.#issueKey(OTHER_KEY_OWNER);
    this.#cluster.network.filter = (transit) => this.#interceptFrame(transit);
    if (timing === ChangeTiming.EntryNewer || timing === ChangeTiming.GuardsNewer)
      await this.#startDisagreement();
    this.#send();
    // An immediate refusal by the entry follows the version before the change.
    await timer.advance(DELAY_MS);
    if (timing === ChangeTiming.CallInFlight) this.#publish();
    await timer.advance(OBSERVATION_MS);
    return this.#conclude();
  }

  /** Checks an execution; at the first one, causes the change or link fault that depends on it. */
  onRun(id: string): void {
    const executor = this.#cluster.member(id);
    this.#checker.recordRun(executor);
    const isFirst = this.#runs === 1;
    if (isFirst && this.#case.timing === ChangeTiming.WhileRunning) this.#publish();
    if (isFirst && this.#case.linkFault === LinkFault.LinkCut) {
      const isLong = this.#case.timing === ChangeTiming.WhileRunning;
      this.#cutLink(executor.instance.peerAddress, isLong ? LINK_CUT_AFTER_MS : 0, LINK_CUT_MS);
    }
  }

  get #entry(): ClusterMember {
    return this.#cluster.member(ENTRY.id);
  }

  get #guards(): ClusterMember[] {
    return this.#cluster.members.filter(({ instance }) => instance.id !== ENTRY.id);
  }

  get #runs(): number {
    return this.#cluster.runs.get(RUN_ID) ?? 0;
  }

  /** Gets a key from the refusal of a call without a key. */
  async #issueKey(ownerId: string): Promise<string | undefined> {
    const request = requestOf(this.#case.type);
    const { nextKey } = await this.#cluster.callToCompletion(ownerId, {
      ...request,
      runId: RUN_ID,
    });
    return nextKey;
  }

  get #call() {
    const request = requestOf(this.#case.type);
    return { ...request, runId: RUN_ID, key: this.#key, deadlineMs: DEADLINE_MS };
  }

  /** Lets one side learn of the change while documents are withheld from the other. */
  async #startDisagreement(): Promise<void> {
    const { change, timing, lag } = this.#case;
    const { timer, withheldFrom } = this.#cluster;
    const lagMs = lag === VersionLag.Short ? SHORT_LAG_MS : LONG_LAG_MS;
    this.#releaseMs = timer.now() + DISTRIBUTION_MS + lagMs;
    const older = timing === ChangeTiming.EntryNewer ? this.#guards : [this.#entry];
    for (const { instance } of older) withheldFrom.add(instance.id);
    if (change === VersionChange.JustStarted || change === VersionChange.NearestStarted)
      this.#restartWithoutConfiguration(older);
    else this.#publish();
    await timer.advance(DISTRIBUTION_MS);
    // The older side gets documents only from the other side from now on, never from the platform.
    if (change === VersionChange.CutOff) return;
    timer.after(lagMs, () => {
      withheldFrom.clear();
    });
  }

  /** Restarts daemons from which documents are withheld, so that they have no configuration. */
  #restartWithoutConfiguration(members: readonly ClusterMember[]): void {
    const { change, type } = this.#case;
    for (const { instance } of members) {
      const { id, pool, failureDomain } = instance;
      const isGuard = pool === poolOf(type);
      const isChosen = change !== VersionChange.NearestStarted || failureDomain === NEAREST_DOMAIN;
      if (id === ENTRY.id || (isGuard && isChosen)) this.#cluster.restartDaemon(id);
    }
  }

  /** Publishes the change; every daemon from which nothing is withheld learns of it. */
  #publish(): void {
    const { change, type } = this.#case;
    const { platform, members } = this.#cluster;
    const { before, after } = makeVersions(change, type);
    if (after !== before) platform.publish(after);
    const listed = changeInstances(
      change,
      members.map(({ instance }) => instance),
    );
    if (listed) platform.setInstances(listed);
  }

  #send(): void {
    const startMs = this.#cluster.timer.now();
    this.#checker.recordAdmission(this.#entry.daemon.configuration);
    void this.#cluster.call(ENTRY.id, this.#call).then((result) => {
      const elapsedMs = this.#cluster.timer.now() - startMs;
      const entryConfiguration = this.#entry.daemon.configuration;
      this.#completion = { result, elapsedMs, entryConfiguration };
    });
  }

  /** Withholds documents from the older side and causes the link fault of the case. */
  #interceptFrame(transit: FrameInTransit): { frame: FrameInTransit['frame']; delayMs: number }[] {
    const { frame } = transit;
    this.#traceVersion(transit);
    if (frame.kind === FrameKind.Document) {
      return [{ frame, delayMs: this.#isWithheldFrom(transit) ? this.#timeToReleaseMs : 0 }];
    }
    if (frame.kind !== FrameKind.Call) return [{ frame, delayMs: 0 }];
    this.#callFrameCount += 1;
    this.#checker.recordSend(this.#memberAt(transit.from), this.#memberAt(transit.to));
    const isFirst = this.#callFrameCount === 1;
    const delayMs = isFirst && this.#case.timing === ChangeTiming.CallInFlight ? IN_FLIGHT_MS : 0;
    const sent = [{ frame, delayMs }];
    if (isFirst && this.#case.linkFault === LinkFault.CallCut) {
      this.#cutLink(transit.to, delayMs + CALL_CUT_AFTER_MS, CALL_CUT_MS);
    }
    const isDoubled = isFirst && this.#case.linkFault === LinkFault.CallDoubled;
    if (isDoubled) sent.push({ frame, delayMs: delayMs + COPY_DELAY_MS });
    return sent;
  }

  #traceVersion({ frame, from, to }: FrameInTransit): void {
    if (!('version' in frame)) return;
    const text = `${from} to ${to}: ${FrameKind[frame.kind]} version=${frame.version}`;
    this.#versionTrace.push(`${this.#cluster.timer.now()} ms ${text}`);
  }

  /** Reports whether to withhold a document that one daemon sends to another. */
  #isWithheldFrom({ from, to }: FrameInTransit): boolean {
    const entry = this.#entry.instance.peerAddress;
    const isBetweenSides = from === entry || to === entry;
    if (this.#case.change === VersionChange.CutOff && isBetweenSides) return false;
    const receiver = this.#memberAt(to);
    return receiver !== undefined && this.#cluster.withheldFrom.has(receiver.instance.id);
  }

  get #timeToReleaseMs(): number {
    return Math.max(0, this.#releaseMs - this.#cluster.timer.now());
  }

  #memberAt(address: string): ClusterMember | undefined {
    return this.#cluster.members.find(({ instance }) => instance.peerAddress === address);
  }

  /** Breaks the link between the entry and an executor temporarily. */
  #cutLink(executor: string, afterMs: number, durationMs: number): void {
    const { network, timer } = this.#cluster;
    const entry = this.#entry.instance.peerAddress;
    timer.after(afterMs, () => {
      network.setPathState(entry, executor, NetworkPathState.Cut);
      timer.after(durationMs, () => {
        network.setPathState(entry, executor, NetworkPathState.Up);
      });
    });
  }

  #conclude(): DisagreementResult {
    const violations = this.#checker.checkCompletion({
      call: this.#call,
      entryDomain: ENTRY.failureDomain,
      completion: this.#completion,
      runs: this.#runs,
      configurations: this.#cluster.members.map(({ daemon }) => daemon.configuration),
    });
    return {
      completion: describeCompletion(this.#completion),
      runs: this.#runs,
      violations,
      trace: this.#trace(),
    };
  }

  #trace(): string[] {
    const lines = this.#cluster.members.flatMap(({ instance, log }) =>
      log.lines().map((line) => `${instance.id} ${line}`),
    );
    return [...this.#versionTrace, ...lines.filter((line) => line.includes(' call='))];
  }
}
