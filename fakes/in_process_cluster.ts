import { err, type Result } from 'neverthrow';
import { Outcome, BufferedBody, collectBody, type Headers, type Refusal } from '../contract/mod.ts';
import { Daemon } from '../daemon/mod.ts';
import type { CallerReply } from '../entry/mod.ts';
import { MemoryLog, type EventLog } from '../event_log/mod.ts';
import { InstanceStage, type Instance } from '../instance/mod.ts';
import type { DialError, Dialer, FrameChannel } from '../link/mod.ts';
import type { ConfigurationDocument } from '../configuration/mod.ts';
import { settingsSchema, type Settings } from '../settings/mod.ts';
import {
  TargetFailureKind,
  type TargetAnswer,
  type TargetFailure,
  type TargetPort,
} from '../guard/mod.ts';
import { VirtualTimer, type TimerService } from '../timer/mod.ts';
import { FakePlatform } from './fake_platform.ts';
import { FakeTarget, RUN_ID_HEADER } from './fake_target.ts';
import { MemoryNetwork } from './memory_network.ts';
import { PausableTimer } from './pausable_timer.ts';
import { ReadPolicy, WithholdingSource } from './withholding_source.ts';

const ANSWER_LIMIT_BYTES = 16_777_216;
const STARTUP_MS = 1_000;

/** An instance of an {@linkcode InProcessCluster}: its target and its daemon. */
export interface ClusterMember {
  instance: Instance;
  target: FakeTarget;
  daemon: Daemon;
  log: MemoryLog;
  /** Aborted when the daemon's process ends. */
  ended: AbortController;
  /** Timer of the daemon's process. */
  clock: PausableTimer;
}

/** An instance to add to an {@linkcode InProcessCluster}. */
export interface InstanceSpec {
  pool: string;
  failureDomain: string;
  /** Name; by default composed of pool and failure domain. */
  id?: string;
}

/** Options of {@linkcode InProcessCluster.start}. */
export interface InProcessClusterOptions {
  configuration: ConfigurationDocument;
  instances: readonly InstanceSpec[];
  /** One-way delay between two failure domains, in milliseconds. */
  delayMs?: (fromDomain: string, toDomain: string) => number;
  /** Settings of each daemon that differ from the defaults. */
  settings?: Partial<
    Pick<Settings, 'target' | 'decisions' | 'keys' | 'quarantine' | 'drainTimeoutMs' | 'lameDuckMs'>
  >;
  /** Shortest time until the address of a target may be reused, in milliseconds; never by default. */
  addressReuseMs?: number;
  /** Returns the execution time of the next call at a target, in milliseconds. */
  serviceMs?: (target: string) => number;
  /** Creates the target of an instance; a {@linkcode FakeTarget} by default. */
  makeTargetPort?: (instanceId: string, timer: TimerService) => TargetPort;
  /** Number of events that the log of each daemon keeps. */
  logCapacity?: number;
  /** Called when the target of an instance begins to execute a call. */
  onRun?: (runId: string, instanceId: string) => void;
}

/** A call to make in an {@linkcode InProcessCluster}. */
export interface ClusterCall {
  method?: string;
  pathAndQuery: string;
  workspace?: string;
  key?: string;
  headers?: Headers;
  body?: string;
  /** Identifier under which executions are counted; {@linkcode ClusterCall.pathAndQuery} by default. */
  runId?: string;
  /** Time until the deadline, in milliseconds. */
  deadlineMs?: number;
  /** Aborted when the caller disconnects. */
  caller?: AbortController;
}

/** Result of a call in an {@linkcode InProcessCluster}. */
export interface ClusterCallResult {
  outcome: Outcome;
  /** Body of the answer, or the reason of the refusal. */
  text: string;
  nextKey: string | undefined;
  status: number | undefined;
  /** The refusal, if no target answered. */
  refusal: Refusal | undefined;
}

/**
 * Cluster of real daemons in one process. Time is virtual, and fakes stand in for the platform,
 * the targets and the network.
 */
export class InProcessCluster {
  readonly timer = new VirtualTimer();
  readonly network: MemoryNetwork;
  readonly platform: FakePlatform;
  readonly members: ClusterMember[] = [];
  /** Executions of each call at all targets, counted independently of the daemons. */
  readonly runs = new Map<string, number>();
  /** Names of the instances from which new documents are withheld. */
  readonly withheldFrom = new Set<string>();
  /** Names of the instances whose reads the platform refuses. */
  readonly refusedReaders = new Set<string>();
  readonly #options: InProcessClusterOptions;
  readonly #resultsAtExit = new WeakMap<AbortSignal, Promise<ClusterCallResult>>();
  #incarnations = 0;

  private constructor(options: InProcessClusterOptions) {
    this.#options = options;
    const delayMs = options.delayMs ?? (() => 1);
    this.network = new MemoryNetwork(this.timer, {
      delayMs: (from, to) => delayMs(parseFailureDomain(from), parseFailureDomain(to)),
    });
    this.platform = new FakePlatform(this.timer, options.configuration);
    const findClock = (address: string) =>
      this.members.find(({ instance }) => instance.peerAddress === address)?.clock;
    this.network.isPaused = (address) => findClock(address)?.isPaused ?? false;
    this.network.whenRunning = async (address) => findClock(address)?.whenRunning();
  }

  /**
   * Starts a cluster.
   *
   * @param options See {@linkcode InProcessClusterOptions}.
   * @returns The cluster, once its daemons serve calls.
   */
  static async start(options: InProcessClusterOptions): Promise<InProcessCluster> {
    const cluster = new InProcessCluster(options);
    for (const spec of options.instances) cluster.addInstance(spec);
    cluster.publishInstances();
    await cluster.timer.advance(STARTUP_MS);
    return cluster;
  }

  /**
   * Adds an instance and starts its daemon. The instance list does not contain it until
   * {@linkcode InProcessCluster.publishInstances} is called.
   *
   * @param spec Pool, failure domain and name.
   * @returns The instance with its daemon.
   */
  addInstance(spec: InstanceSpec): ClusterMember {
    const id = spec.id ?? `${spec.pool}-${spec.failureDomain}`;
    const { pool, failureDomain } = spec;
    const address = `${id}@${failureDomain}`;
    const instance: Instance = {
      id,
      pool,
      failureDomain,
      peerAddress: address,
      callerAddress: address,
      stage: InstanceStage.Live,
    };
    const target = this.#makeTarget(id);
    const getMember = { instance, target, ...this.#startDaemon(instance, target) };
    this.members.push(getMember);
    return getMember;
  }

  /** Publishes an instance list with all instances of the cluster. */
  publishInstances(): void {
    this.platform.setInstances(this.members.map(({ instance }) => instance));
  }

  /**
   * Finds an instance.
   *
   * @param id Name of the instance.
   * @returns The instance with its daemon.
   * @throws {Error} If there is no such instance.
   */
  member(id: string): ClusterMember {
    const member = this.members.find(({ instance }) => instance.id === id);
    if (!member) throw new Error(`expected an instance of the cluster, got "${id}"`);
    return member;
  }

  /**
   * Ends a daemon's process without a drain and starts another in its place.
   *
   * @param id Name of the instance.
   */
  restartDaemon(id: string): void {
    const member = this.member(id);
    this.stopDaemon(id);
    Object.assign(member, this.#startDaemon(member.instance, member.target));
  }

  /**
   * Ends a daemon's process without a drain.
   *
   * @param id Name of the instance.
   */
  stopDaemon(id: string): void {
    const { instance, daemon, ended } = this.member(id);
    ended.abort();
    this.network.listen(instance.peerAddress, undefined);
    this.network.breakConnections(instance.peerAddress);
    daemon.kill();
  }

  /**
   * Makes a call at a daemon. It completes only if virtual time is advanced.
   *
   * @param id Name of the daemon's instance.
   * @param call The call.
   * @returns Its result.
   */
  call(id: string, call: ClusterCall): Promise<ClusterCallResult> {
    const { daemon, ended } = this.member(id);
    const caller = call.caller ?? new AbortController();
    const reply = daemon.serve({
      callId: undefined,
      workspace: call.workspace ?? 'plata',
      host: 'localhost',
      method: call.method ?? 'GET',
      pathAndQuery: call.pathAndQuery,
      headers: [
        ...(call.headers ?? []),
        [RUN_ID_HEADER, call.runId ?? call.pathAndQuery],
        ['content-length', String(call.body?.length ?? 0)],
      ],
      contentLength: call.body?.length ?? 0,
      body: new BufferedBody(Buffer.from(call.body ?? '')),
      deadline: call.deadlineMs === undefined ? undefined : String(call.deadlineMs),
      depth: undefined,
      key: call.key,
      signal: caller.signal,
      cancel: () => {
        caller.abort();
      },
    });
    return Promise.race([reply.then(readReply), this.#getResultAtExit(ended.signal)]);
  }

  /**
   * Makes a call and advances virtual time until it completes.
   *
   * @param id Name of the daemon's instance.
   * @param call The call.
   * @returns Its result.
   */
  async callToCompletion(id: string, call: ClusterCall): Promise<ClusterCallResult> {
    return this.advanceUntil(this.call(id, call));
  }

  /**
   * Advances virtual time until a promise is fulfilled or rejected.
   *
   * @param pending The promise.
   * @returns Its value.
   */
  async advanceUntil<T>(pending: Promise<T>): Promise<T> {
    let isSettled = false;
    const watched = pending.finally(() => {
      isSettled = true;
    });
    const isPending = () => !isSettled;
    while (isPending()) await this.timer.advance(1);
    return watched;
  }

  /** Returns one promise for each process, since all of its callers wait for the same event. */
  #getResultAtExit(ended: AbortSignal): Promise<ClusterCallResult> {
    const result = this.#resultsAtExit.get(ended) ?? waitForExit(ended);
    this.#resultsAtExit.set(ended, result);
    return result;
  }

  #makeTarget(name: string): FakeTarget {
    const { serviceMs } = this.#options;
    return new FakeTarget({
      name,
      timer: this.timer,
      onRun: (runId) => {
        this.runs.set(runId, (this.runs.get(runId) ?? 0) + 1);
        this.#options.onRun?.(runId, name);
      },
      serviceMs: serviceMs && (() => serviceMs(name)),
    });
  }

  #startDaemon(
    instance: Instance,
    target: FakeTarget,
  ): Pick<ClusterMember, 'daemon' | 'log' | 'ended' | 'clock'> {
    this.#incarnations += 1;
    const ended = new AbortController();
    const clock = new PausableTimer(this.timer);
    const targetPort = this.#options.makeTargetPort?.(instance.id, this.timer) ?? target;
    const log = new MemoryLog(this.#options.logCapacity ?? 4_096);
    const daemon = new Daemon({
      settings: this.#makeSettings(instance),
      timer: clock,
      log: log satisfies EventLog,
      dialer: makeStoppableDialer(this.network.makeDialer(instance.peerAddress), ended.signal),
      platform: new WithholdingSource(this.platform, {
        getPolicy: () => this.#getReadPolicy(instance.id),
        whenRunning: () => clock.whenRunning(),
      }),
      target: makeStoppableTarget(targetPort, ended.signal, clock),
      addressReuseMs: this.#options.addressReuseMs ?? Infinity,
      incarnation: `run-${this.#incarnations}`,
    });
    this.network.listen(instance.peerAddress, (channel) => void daemon.accept(channel));
    void daemon.start();
    return { daemon, log, ended, clock };
  }

  #getReadPolicy(id: string): ReadPolicy {
    if (this.refusedReaders.has(id)) return ReadPolicy.Refuse;
    return this.withheldFrom.has(id) ? ReadPolicy.Withhold : ReadPolicy.Serve;
  }

  #makeSettings({ id, pool, failureDomain }: Instance): Settings {
    const settings = settingsSchema.parse({
      instance: { id, pool, failureDomain },
      callers: { port: 0 },
      peers: { port: 0 },
      operators: { port: 0 },
      target: { url: 'http://localhost' },
      platform: { url: 'http://localhost' },
    });
    const seeded = { ...settings.decisions, seed: this.#incarnations };
    return { ...settings, decisions: seeded, ...this.#options.settings };
  }
}

/** Creates a dialer that opens no connections after the process has ended. */
function makeStoppableDialer(dialer: Dialer, ended: AbortSignal): Dialer {
  const failure: Result<FrameChannel, DialError> = err({ detail: 'the process has ended' });
  return {
    dial: (address) => (ended.aborted ? Promise.resolve(failure) : dialer.dial(address)),
  };
}

/** Creates a target port that sends nothing after the process has ended. */
function makeStoppableTarget(
  target: TargetPort,
  ended: AbortSignal,
  clock: PausableTimer,
): TargetPort {
  const detail = 'the process has ended';
  const failure: Result<TargetAnswer, TargetFailure> = err({
    kind: TargetFailureKind.NotSent,
    detail,
  });
  return {
    run: async (req) => {
      if (ended.aborted) return failure;
      const result = await target.run(req);
      await clock.whenRunning();
      return result;
    },
    probe: () => (ended.aborted ? Promise.resolve(undefined) : target.probe()),
  };
}

/** Waits until the daemon's process ends and returns what its callers see then. */
function waitForExit(ended: AbortSignal): Promise<ClusterCallResult> {
  const result = {
    outcome: Outcome.Unknown,
    text: 'connection broken',
    nextKey: undefined,
    status: undefined,
    refusal: undefined,
  };
  return new Promise((resolve) => {
    if (ended.aborted) resolve(result);
    ended.addEventListener('abort', () => {
      resolve(result);
    });
  });
}

function parseFailureDomain(address: string): string {
  return address.split('@')[1] ?? '';
}

async function readReply({ result, nextKey }: CallerReply): Promise<ClusterCallResult> {
  if (result.isErr()) {
    const { outcome, reason } = result.error;
    return { outcome, text: reason, nextKey, status: undefined, refusal: result.error };
  }
  const { status, body } = result.value;
  const read = await collectBody(body, ANSWER_LIMIT_BYTES);
  const common = { nextKey, status, refusal: undefined };
  if (read.isErr()) return { outcome: Outcome.Unknown, text: 'cut', ...common };
  const text = Buffer.from(read.value.bytes).toString();
  return { outcome: Outcome.Answered, text, ...common };
}
