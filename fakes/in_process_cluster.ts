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
import { WithholdingSource } from './withholding_source.ts';

const ANSWER_LIMIT_BYTES = 16_777_216;
const START_MS = 1_000;

/** One daemon with its target. */
export interface ClusterMember {
  instance: Instance;
  target: FakeTarget;
  daemon: Daemon;
  log: MemoryLog;
  /** Aborted when the daemon's process has ended. */
  ended: AbortController;
  /** Clock of the daemon's process. */
  clock: PausableTimer;
}

/** One instance to put into a {@linkcode InProcessCluster}. */
export interface InstanceSpec {
  pool: string;
  failureDomain: string;
  /** Name; made of pool and failure domain by default. */
  id?: string;
}

/** Options of {@linkcode InProcessCluster.start}. */
export interface InProcessClusterOptions {
  configuration: ConfigurationDocument;
  instances: readonly InstanceSpec[];
  /** One-way delay between two failure domains, in milliseconds. */
  delayMs?: (fromDomain: string, toDomain: string) => number;
  /** Further settings of each daemon. */
  settings?: Partial<
    Pick<Settings, 'decisions' | 'keys' | 'quarantine' | 'drainTimeoutMs' | 'lameDuckMs'>
  >;
  /** @returns Time of the next call at a target, in milliseconds. */
  serviceMs?: (target: string) => number;
  /** Makes the target of an instance, in place of a {@linkcode FakeTarget}. */
  makeTargetPort?: (instanceId: string, timer: TimerService) => TargetPort;
  /** Log of each daemon; one in memory by default. */
  logCapacity?: number;
  /** Called when a call begins to take effect at the target of an instance. */
  onRun?: (runId: string, instanceId: string) => void;
}

/** A call to make in a {@linkcode InProcessCluster}. */
export interface ClusterCall {
  method?: string;
  pathAndQuery: string;
  workspace?: string;
  key?: string;
  headers?: Headers;
  body?: string;
  /** Name for counting runs. */
  runId?: string;
  deadlineMs?: number;
  /** Aborted when the caller leaves. */
  caller?: AbortController;
}

/** How a call in a {@linkcode InProcessCluster} ended. */
export interface ClusterCallResult {
  outcome: Outcome;
  /** Reason of the refusal, or the text of the answer. */
  text: string;
  nextKey: string | undefined;
  status: number | undefined;
  /** The refusal, if no target answered. */
  refusal: Refusal | undefined;
}

/** Real daemons in one process, with fakes at their interfaces and virtual time. */
export class InProcessCluster {
  readonly timer = new VirtualTimer();
  readonly network: MemoryNetwork;
  readonly platform: FakePlatform;
  readonly members: ClusterMember[] = [];
  /** Runs of each call at any target, counted apart from the daemons. */
  readonly runs = new Map<string, number>();
  /** Names of instances that the platform shows nothing new. */
  readonly withheldFrom = new Set<string>();
  readonly #options: InProcessClusterOptions;
  readonly #ends = new WeakMap<AbortSignal, Promise<ClusterCallResult>>();
  #incarnations = 0;

  private constructor(options: InProcessClusterOptions) {
    this.#options = options;
    const delayMs = options.delayMs ?? (() => 1);
    this.network = new MemoryNetwork(this.timer, {
      delayMs: (from, to) => delayMs(domainOf(from), domainOf(to)),
    });
    this.platform = new FakePlatform(this.timer, options.configuration);
    const clockAt = (address: string) =>
      this.members.find(({ instance }) => instance.peerAddress === address)?.clock;
    this.network.isPaused = (address) => clockAt(address)?.isPaused ?? false;
    this.network.whenRunning = async (address) => clockAt(address)?.whenRunning();
  }

  /**
   * @param options See {@linkcode InProcessClusterOptions}.
   * @returns The world, once its daemons serve.
   */
  static async start(options: InProcessClusterOptions): Promise<InProcessCluster> {
    const world = new InProcessCluster(options);
    for (const placing of options.instances) world.addInstance(placing);
    world.publishInstances();
    await world.timer.advance(START_MS);
    return world;
  }

  /**
   * Adds an instance and starts its daemon; the list does not name it yet.
   *
   * @param placing Where it stands.
   * @returns The instance with its daemon.
   */
  addInstance(placing: InstanceSpec): ClusterMember {
    const id = placing.id ?? `${placing.pool}-${placing.failureDomain}`;
    const { pool, failureDomain } = placing;
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

  /** Has the platform list the instances that there are. */
  publishInstances(): void {
    this.platform.setInstances(this.members.map(({ instance }) => instance));
  }

  /**
   * @param id Name of an instance.
   * @returns The instance with its daemon.
   */
  member(id: string): ClusterMember {
    const found = this.members.find(({ instance }) => instance.id === id);
    if (!found) throw new Error(`expected an instance of the world, got "${id}"`);
    return found;
  }

  /**
   * Ends a daemon's process without warning and starts another in its place.
   *
   * @param id Name of the instance.
   */
  restartDaemon(id: string): void {
    const member = this.member(id);
    this.stopDaemon(id);
    Object.assign(member, this.#startDaemon(member.instance, member.target));
  }

  /**
   * Ends a daemon's process without warning.
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
   * Makes a call at a daemon; time must be advanced for it to end.
   *
   * @param id Name of the daemon's instance.
   * @param call The call.
   * @returns How it ended.
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
      headers: [...(call.headers ?? []), [RUN_ID_HEADER, call.runId ?? call.pathAndQuery]],
      announcedBytes: call.body?.length ?? 0,
      body: new BufferedBody(Buffer.from(call.body ?? '')),
      deadline: call.deadlineMs === undefined ? undefined : String(call.deadlineMs),
      depth: undefined,
      key: call.key,
      signal: caller.signal,
      cancel: () => {
        caller.abort();
      },
    });
    return Promise.race([reply.then(readReply), this.#untilEnded(ended.signal)]);
  }

  /**
   * Makes a call and advances time until it has ended.
   *
   * @param id Name of the daemon's instance.
   * @param call The call.
   * @returns How it ended.
   */
  async callToCompletion(id: string, call: ClusterCall): Promise<ClusterCallResult> {
    return this.advanceUntil(this.call(id, call));
  }

  /**
   * Advances time until a promise settles.
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

  /** One promise for each process, since all of its callers wait for the same end. */
  #untilEnded(ended: AbortSignal): Promise<ClusterCallResult> {
    const known = this.#ends.get(ended) ?? untilEnded(ended);
    this.#ends.set(ended, known);
    return known;
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
    const port = this.#options.makeTargetPort?.(instance.id, this.timer) ?? target;
    const log = new MemoryLog(this.#options.logCapacity ?? 4_096);
    const daemon = new Daemon({
      settings: this.#settingsOf(instance),
      timer: clock,
      log: log satisfies EventLog,
      dialer: mortalDialer(this.network.makeDialer(instance.peerAddress), ended.signal),
      platform: new WithholdingSource(this.platform, () => this.withheldFrom.has(instance.id)),
      target: mortalTarget(port, ended.signal, clock),
      incarnation: `run-${this.#incarnations}`,
    });
    this.network.listen(instance.peerAddress, (channel) => void daemon.accept(channel));
    void daemon.start();
    return { daemon, log, ended, clock };
  }

  #settingsOf({ id, pool, failureDomain }: Instance): Settings {
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

/** A process that has ended opens no connections. */
function mortalDialer(dialer: Dialer, ended: AbortSignal): Dialer {
  const dead: Result<FrameChannel, DialError> = err({ detail: 'the process has ended' });
  return {
    dial: (address) => (ended.aborted ? Promise.resolve(dead) : dialer.dial(address)),
  };
}

/** A process that has ended sends nothing to its target. */
function mortalTarget(target: TargetPort, ended: AbortSignal, clock: PausableTimer): TargetPort {
  const detail = 'the process has ended';
  const dead: Result<TargetAnswer, TargetFailure> = err({
    kind: TargetFailureKind.NotSent,
    detail,
  });
  return {
    run: async (req) => {
      if (ended.aborted) return dead;
      const result = await target.run(req);
      await clock.whenRunning();
      return result;
    },
    probe: () => (ended.aborted ? Promise.resolve(undefined) : target.probe()),
  };
}

/** What a caller sees when the daemon's process ends before the answer. */
function untilEnded(ended: AbortSignal): Promise<ClusterCallResult> {
  const broken = {
    outcome: Outcome.Unknown,
    text: 'connection broken',
    nextKey: undefined,
    status: undefined,
    refusal: undefined,
  };
  return new Promise((resolve) => {
    if (ended.aborted) resolve(broken);
    ended.addEventListener('abort', () => {
      resolve(broken);
    });
  });
}

function domainOf(address: string): string {
  return address.split('@')[1] ?? '';
}

async function readReply({ result, nextKey }: CallerReply): Promise<ClusterCallResult> {
  if (result.isErr()) {
    const { outcome, reason } = result.error;
    return { outcome, text: reason, nextKey, status: undefined, refusal: result.error };
  }
  const { status, body } = result.value;
  const read = await collectBody(body, ANSWER_LIMIT_BYTES);
  const end = { nextKey, status, refusal: undefined };
  if (read.isErr()) return { outcome: Outcome.Unknown, text: 'cut', ...end };
  const text = Buffer.from(read.value.bytes).toString();
  return { outcome: Outcome.Answered, text, ...end };
}
