import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { PlatformTarget, type TargetRun } from '../stand_in/mod.ts';
import { sleep, type RealTimer } from '../timer/mod.ts';
import { FaultProxy, type Address } from './fault_proxy.ts';

/** Network paths to and from a daemon. */
export enum MachinePath {
  Callers = 'callers',
  Peers = 'peers',
  Target = 'target',
  Store = 'store',
}

/** Port numbers, which are the same on all machines. */
export interface SoakPorts {
  callers: number;
  peers: number;
  operators: number;
  target: number;
  store: number;
}

/** Options of {@linkcode SoakMachine}. */
export interface SoakMachineOptions {
  /** Number of the machine, from 1; the last byte of its addresses. */
  number: number;
  pool: string;
  failureDomain: string;
  /** Region of each failure domain. */
  regions: Readonly<Record<string, string>>;
  ports: SoakPorts;
  store: Address;
  /** Folder for settings and logs. */
  folder: string;
  timer: RealTimer;
  onRun: (run: TargetRun, machine: SoakMachine) => void;
  /** Called when the daemon's process has exited although no SIGTERM or SIGKILL was sent. */
  onUnexpectedExit: (machine: SoakMachine, code: number | null) => void;
}

const SLOTS = 6;
const SERVICE_MS = 30;
/** Lame-duck period and drain timeout, in milliseconds: as in deploy/settings.jsonc. */
const LAME_DUCK_MS = 2_500;
const DRAIN_TIMEOUT_MS = 6_000;
/** Time from the exit of a process to the start of the next one, in milliseconds. */
const RESTART_DELAY_MS = 300;
/** Time after a fault during which no time limit applies to a machine, in milliseconds: the sites' `stable_window`. */
const STABLE_WINDOW_MS = 4_000;
/** Loopback networks; the number is the second byte of the address. */
enum Network {
  /** Proxies that callers and peers connect to. */
  Inbound = 1,
  /** Listeners of the daemon. */
  Daemon = 2,
  /** Proxies that the daemon connects to. */
  Outbound = 3,
  /** Listener of the target. */
  Target = 4,
}

/** Shortest time from the end of a target until another one gets its address, in milliseconds. */
export const ADDRESS_REUSE_MS = 2_000;
const FOREIGN_PREFIX = 'foreign-';

/** A machine: a target, the daemon process beside it, and a proxy on each network path. */
export class SoakMachine {
  readonly pool: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly target: PlatformTarget;
  readonly paths = new Map<MachinePath, FaultProxy>();
  readonly #options: SoakMachineOptions;
  #child: ChildProcess | undefined;
  #exited: Promise<number | null> = Promise.resolve(0);
  #targetStarts = 0;
  #faultyUntilMs = -Infinity;
  #isExitExpected = false;
  #isClosing = false;

  /** @param options Options of the machine. */
  constructor(options: SoakMachineOptions) {
    this.#options = options;
    this.pool = options.pool;
    this.failureDomain = options.failureDomain;
    this.region = options.regions[options.failureDomain] ?? '';
    this.target = new PlatformTarget({
      ...this.#address(Network.Target, options.ports.target),
      slots: SLOTS,
      serviceMs: SERVICE_MS,
      timer: options.timer,
      onRun: (run) => {
        options.onRun(run, this);
      },
    });
  }

  /** @returns Name of the machine: the address that callers and peers connect to. */
  get id(): string {
    return this.#address(Network.Inbound, 0).host;
  }

  /** @returns Origin that callers use. */
  get origin(): string {
    return `http://${this.id}:${this.#options.ports.callers}`;
  }

  /** @returns Whether the daemon's health endpoint, which the platform polls, reports that it is ready. */
  async isServing(): Promise<boolean> {
    const { host, port } = this.#address(Network.Daemon, this.#options.ports.operators);
    try {
      const res = await request(`http://${host}:${port}/health`);
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      // The daemon does not listen yet.
      return false;
    }
  }

  /** @returns `host:port` of the target in its registration. */
  get targetAddress(): string {
    return `${this.id}:${this.#options.ports.target}`;
  }

  /** @returns Id for the next incarnation of the target. */
  makeTargetId(): string {
    this.#targetStarts += 1;
    return `i-${this.#options.number}-${this.#targetStarts}`;
  }

  /** Makes an ID for a target of another pool that gets the address. */
  makeForeignTargetId(): string {
    return `${FOREIGN_PREFIX}${this.makeTargetId()}`;
  }

  /**
   * @param targetId ID of an incarnation that ran at the address.
   * @returns Whether it was of another pool than the machine.
   */
  isForeign(targetId: string): boolean {
    return targetId.startsWith(FOREIGN_PREFIX);
  }

  /** Starts the proxies and the daemon. */
  async start(): Promise<void> {
    const { ports, store, timer } = this.#options;
    const networkPaths: [MachinePath, Address, Address][] = [
      [
        MachinePath.Callers,
        this.#address(Network.Inbound, ports.callers),
        this.#address(Network.Daemon, ports.callers),
      ],
      [
        MachinePath.Peers,
        this.#address(Network.Inbound, ports.peers),
        this.#address(Network.Daemon, ports.peers),
      ],
      [
        MachinePath.Target,
        this.#address(Network.Outbound, ports.target),
        this.#address(Network.Target, ports.target),
      ],
      [MachinePath.Store, this.#address(Network.Outbound, ports.store), store],
    ];
    for (const [path, from, to] of networkPaths) {
      this.paths.set(path, await FaultProxy.listen(timer, { from, to }));
    }
    this.writeSettings(LAME_DUCK_MS);
    this.startDaemon();
  }

  /**
   * Writes the settings file of the daemon.
   *
   * @param lameDuckMs Lame-duck period in milliseconds, which a running daemon can reload.
   */
  writeSettings(lameDuckMs: number): void {
    const { ports, regions } = this.#options;
    const { failureDomain, pool } = this;
    const listener = (port: number) => this.#address(Network.Daemon, port);
    const outboundHost = this.#address(Network.Outbound, 0).host;
    const settings = {
      instance: { id: this.id, pool, failureDomain },
      callers: listener(ports.callers),
      peers: listener(ports.peers),
      operators: listener(ports.operators),
      target: { url: `http://${outboundHost}:${ports.target}`, probePeriodMs: 1_000 },
      platform: {
        kind: 'store',
        url: `http://${outboundHost}:${ports.store}`,
        regions,
        bounds: { reuse_after: `${ADDRESS_REUSE_MS}ms` },
      },
      decisions: { foreignEntry: 'forward', seed: this.#options.number },
      lameDuckMs,
      drainTimeoutMs: DRAIN_TIMEOUT_MS,
    };
    writeFileSync(this.#settingsFile, JSON.stringify(settings));
  }

  /**
   * Starts the daemon's process, and restarts it each time it has exited, as the
   * platform does.
   */
  startDaemon(): void {
    const { folder, timer, onUnexpectedExit } = this.#options;
    const daemonModule = fileURLToPath(new URL('../daemon/main.js', import.meta.url));
    const log = createWriteStream(join(folder, `${this.id}.log`), { flags: 'a' });
    const child = spawn(process.execPath, [daemonModule, `--settings=${this.#settingsFile}`], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    child.stdout.pipe(log);
    const killChild = () => child.kill('SIGKILL');
    process.once('exit', killChild);
    child.once('close', () => process.off('exit', killChild));
    this.#child = child;
    this.#isExitExpected = false;
    this.#exited = new Promise((resolve) => child.once('close', resolve));
    void this.#exited.then(async (code) => {
      if (this.#isClosing) return;
      if (!this.#isExitExpected) onUnexpectedExit(this, code);
      await sleep(timer, RESTART_DELAY_MS);
      this.#restart();
    });
  }

  /**
   * Sends a signal to the daemon's process.
   *
   * @param signal The signal.
   * @returns Exit code of the process once it has exited; null if a signal killed it.
   */
  sendSignal(
    signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP',
  ): Promise<number | null> {
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.#isExitExpected = true;
    this.#child?.kill(signal);
    return this.#exited;
  }

  /**
   * Records an unplanned fault of the machine or its network paths.
   *
   * @param untilMs Time at which the fault ends, in milliseconds.
   */
  recordFault(untilMs: number): void {
    this.#faultyUntilMs = Math.max(this.#faultyUntilMs, untilMs);
  }

  /**
   * Reports whether the machine has had no unplanned fault since a moment, nor shortly before.
   *
   * @param sinceMs The moment, in milliseconds.
   * @returns Whether there was none.
   */
  wasFaultFreeSince(sinceMs: number): boolean {
    return this.#faultyUntilMs + STABLE_WINDOW_MS < sinceMs;
  }

  /** Stops the daemon, the target and the proxies. */
  async close(): Promise<void> {
    this.#isClosing = true;
    void this.sendSignal('SIGCONT');
    await this.sendSignal('SIGKILL');
    await this.target.crash();
    for (const proxy of this.paths.values()) proxy.close();
  }

  #restart(): void {
    if (!this.#isClosing) this.startDaemon();
  }

  get #settingsFile(): string {
    return join(this.#options.folder, `${this.id}.json`);
  }

  #address(network: Network, port: number): Address {
    return { host: `127.${network}.0.${this.#options.number}`, port };
  }
}
