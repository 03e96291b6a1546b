import { spawn, type ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parse } from 'jsonc-parser';
import { Agent, request } from 'undici';
import { InstanceStage, type Instance } from '../instance/mod.ts';
import { PlatformStandIn, TargetStandIn, type TargetBehaviour } from '../stand_in/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { findFreePorts } from './free_ports.ts';

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 15_000;
const PORTS_PER_DAEMON = 3;

/** One instance of a deployment. */
export interface InstanceSpec {
  /** Name of the instance; made of pool and failure domain by default. */
  id?: string;
  pool: string;
  failureDomain: string;
}

/** Options of {@linkcode Deployment.start}. */
export interface DeploymentOptions {
  /** The configuration as JSON. */
  configuration: string;
  instances: readonly InstanceSpec[];
  behaviour?: Partial<TargetBehaviour>;
  /** Called with each run of a call at a target. */
  onRun?: (runId: string, target: string) => void;
  /** Origin of one target for all, in place of a stand-in for each. */
  targetUrl?: string;
  /** Further settings of each daemon. */
  settings?: object;
}

/** One daemon process beside its target. */
export interface DeploymentMember {
  instance: Instance;
  target: TargetStandIn;
  process: ChildProcess;
  operatorAddress: string;
}

/** Stand-ins and daemon processes that make up a small deployment on the loopback interface. */
export class Deployment {
  readonly platform: PlatformStandIn;
  readonly members: readonly DeploymentMember[];
  readonly #agent = new Agent();

  private constructor(platform: PlatformStandIn, members: readonly DeploymentMember[]) {
    this.platform = platform;
    this.members = members;
  }

  /**
   * @param options See {@linkcode DeploymentOptions}.
   * @returns The deployment, once every daemon serves.
   */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const { configuration } = options;
    const platform = await PlatformStandIn.listen({ configuration });
    const targets = await Promise.all(options.instances.map((each) => startTarget(each, options)));
    const ports = await findFreePorts(options.instances.length * PORTS_PER_DAEMON);
    const members = targets.map(({ placing, target }, index) => {
      const own = ports.slice(index * PORTS_PER_DAEMON, (index + 1) * PORTS_PER_DAEMON);
      return startMember(placing, own, { ...options, target, platformPort: platform.port, index });
    });
    platform.setInstances(members.map(({ instance }) => instance));
    const deployment = new Deployment(platform, members);
    await deployment.#untilServing();
    return deployment;
  }

  /** @returns Origins for callers. */
  get origins(): string[] {
    return this.members.map(({ instance }) => `http://${instance.callerAddress}`);
  }

  /** Stops every daemon gracefully and ends the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.members.map(stopMember));
    await this.#agent.destroy();
    for (const { target } of this.members) target.crash();
    this.platform.close();
  }

  async #untilServing(): Promise<void> {
    const timer = new RealTimer();
    const endMs = timer.now() + READY_TIMEOUT_MS;
    const waiting = new Set(this.members);
    while (waiting.size > 0 && timer.now() < endMs) {
      for (const member of waiting) if (await this.#isServing(member)) waiting.delete(member);
      await sleep(timer, READY_POLL_MS);
    }
    if (waiting.size > 0) throw new Error(`expected all daemons to serve, ${waiting.size} do not`);
  }

  async #isServing({ operatorAddress }: DeploymentMember): Promise<boolean> {
    try {
      const res = await request(`http://${operatorAddress}/health`, { dispatcher: this.#agent });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }
}

/**
 * @param path Path from the folder of examples.
 * @returns The example's configuration as plain JSON.
 */
export function readExample(path: string): string {
  const file = fileURLToPath(new URL(`../../examples/${path}`, import.meta.url));
  return JSON.stringify(parse(readFileSync(file, 'utf8'), [], { allowTrailingComma: true }));
}

async function startTarget(
  placing: InstanceSpec,
  { behaviour, onRun }: DeploymentOptions,
): Promise<{ placing: InstanceSpec; target: TargetStandIn }> {
  const target = new TargetStandIn({ name: idOf(placing), behaviour, onRun });
  await target.listen();
  return { placing, target };
}

function idOf({ id, pool, failureDomain }: InstanceSpec): string {
  return id ?? `${pool}-${failureDomain}`;
}

function startMember(
  placing: InstanceSpec,
  [callerPort = 0, peerPort = 0, operatorPort = 0]: number[],
  options: DeploymentOptions & { target: TargetStandIn; platformPort: number; index: number },
): DeploymentMember {
  const { pool, failureDomain } = placing;
  const { target } = options;
  const id = idOf(placing);
  const host = '127.0.0.1';
  const settings = {
    instance: { id, pool, failureDomain },
    callers: { host, port: callerPort },
    peers: { host, port: peerPort },
    operators: { host, port: operatorPort },
    target: { url: options.targetUrl ?? `http://${host}:${target.port}` },
    platform: { url: `http://${host}:${options.platformPort}` },
    decisions: { seed: options.index + 1 },
    ...options.settings,
  };
  const instance: Instance = {
    id,
    pool,
    failureDomain,
    peerAddress: `${host}:${peerPort}`,
    callerAddress: `${host}:${callerPort}`,
    stage: InstanceStage.Live,
  };
  const operatorAddress = `${host}:${operatorPort}`;
  return { instance, target, process: spawnDaemon(settings), operatorAddress };
}

/** Runs a daemon as a process of its own, as in a real deployment. */
function spawnDaemon(settings: object): ChildProcess {
  const program = fileURLToPath(new URL('../daemon/main.js', import.meta.url));
  const child = spawn(process.execPath, [program, '--settings=-'], {
    stdio: ['pipe', 'ignore', process.env.RHUBARBKEEL_LOG === '1' ? 'inherit' : 'ignore'],
  });
  child.stdin.end(JSON.stringify(settings));
  return child;
}

async function stopMember({ process: child }: DeploymentMember): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  // Its pipes are closed too by then, so that nothing of it is left in this process.
  const ended = new Promise((resolve) => child.once('close', resolve));
  child.kill('SIGTERM');
  await ended;
}
