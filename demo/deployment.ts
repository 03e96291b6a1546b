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

/** An instance to start in a deployment. */
export interface InstanceSpec {
  /** Id of the instance; pool and failure domain joined by a hyphen by default. */
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
  /** Called for each execution of a call at a target. */
  onRun?: (runId: string, target: string) => void;
  /** Origin of one target that all daemons use instead of a stand-in each. */
  targetUrl?: string;
  /** Settings of each daemon that override the generated ones. */
  settings?: object;
}

/** A daemon process and its target. */
export interface DeploymentMember {
  instance: Instance;
  target: TargetStandIn;
  process: ChildProcess;
  operatorAddress: string;
}

/** Small deployment of stand-ins and daemon processes on the loopback interface. */
export class Deployment {
  readonly platform: PlatformStandIn;
  readonly members: readonly DeploymentMember[];
  readonly #agent = new Agent();

  private constructor(platform: PlatformStandIn, members: readonly DeploymentMember[]) {
    this.platform = platform;
    this.members = members;
  }

  /**
   * Starts the stand-ins and daemons.
   *
   * @param options See {@linkcode DeploymentOptions}.
   * @returns The deployment, as soon as every daemon serves.
   * @throws If a daemon does not serve within 15 seconds.
   */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const { configuration } = options;
    const platform = await PlatformStandIn.listen({ configuration });
    const targets = await Promise.all(options.instances.map((each) => startTarget(each, options)));
    const ports = await findFreePorts(options.instances.length * PORTS_PER_DAEMON);
    const members = targets.map(({ spec, target }, index) => {
      const memberPorts = ports.slice(index * PORTS_PER_DAEMON, (index + 1) * PORTS_PER_DAEMON);
      return startMember(spec, memberPorts, {
        ...options,
        target,
        platformPort: platform.port,
        index,
      });
    });
    platform.setInstances(members.map(({ instance }) => instance));
    const deployment = new Deployment(platform, members);
    await deployment.#waitUntilServing();
    return deployment;
  }

  /** @returns Origins that callers use, one for each daemon. */
  get origins(): string[] {
    return this.members.map(({ instance }) => `http://${instance.callerAddress}`);
  }

  /** Shuts down every daemon as planned and closes the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.members.map(stopMember));
    await this.#agent.destroy();
    for (const { target } of this.members) target.crash();
    this.platform.close();
  }

  async #waitUntilServing(): Promise<void> {
    const timer = new RealTimer();
    const deadlineMs = timer.now() + READY_TIMEOUT_MS;
    const pending = new Set(this.members);
    while (pending.size > 0 && timer.now() < deadlineMs) {
      for (const member of pending) if (await this.#isServing(member)) pending.delete(member);
      await sleep(timer, READY_POLL_MS);
    }
    if (pending.size > 0) throw new Error(`expected all daemons to serve, ${pending.size} do not`);
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
 * Reads a configuration of the examples.
 *
 * @param path Path relative to the folder of examples.
 * @returns The configuration as JSON without comments.
 */
export function readExample(path: string): string {
  const file = fileURLToPath(new URL(`../../examples/${path}`, import.meta.url));
  return JSON.stringify(parse(readFileSync(file, 'utf8'), [], { allowTrailingComma: true }));
}

async function startTarget(
  spec: InstanceSpec,
  { behaviour, onRun }: DeploymentOptions,
): Promise<{ spec: InstanceSpec; target: TargetStandIn }> {
  const target = new TargetStandIn({ name: getInstanceId(spec), behaviour, onRun });
  await target.listen();
  return { spec, target };
}

function getInstanceId({ id, pool, failureDomain }: InstanceSpec): string {
  return id ?? `${pool}-${failureDomain}`;
}

function startMember(
  spec: InstanceSpec,
  [callerPort = 0, peerPort = 0, operatorPort = 0]: number[],
  options: DeploymentOptions & { target: TargetStandIn; platformPort: number; index: number },
): DeploymentMember {
  const { pool, failureDomain } = spec;
  const { target } = options;
  const id = getInstanceId(spec);
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

/** Starts a daemon in a separate process, as in a real deployment. */
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
  // Unlike "exit", "close" also waits for the pipes, so that no handle is left in this process.
  const closed = new Promise((resolve) => child.once('close', resolve));
  child.kill('SIGTERM');
  await closed;
}
