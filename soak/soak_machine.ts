import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { PlatformTarget, type TargetRun } from '../stand_in/mod.ts';
import { sleep, type RealTimer } from '../timer/mod.ts';
import { FaultProxy, type Address } from './fault_proxy.ts';

/** The ways that lead to and from one daemon. */
export enum MachinePath {
  Callers = 'callers',
  Peers = 'peers',
  Target = 'target',
  Store = 'store',
}

/** Ports that are the same on all machines. */
export interface SoakPorts {
  callers: number;
  peers: number;
  operators: number;
  target: number;
  store: number;
}

/** What a {@linkcode SoakMachine} needs. */
export interface SoakMachineOptions {
  /** Number of the machine, from 1; its addresses are made of it. */
  number: number;
  pool: string;
  failureDomain: string;
  regions: Readonly<Record<string, string>>;
  ports: SoakPorts;
  store: Address;
  /** Folder for settings and logs. */
  folder: string;
  timer: RealTimer;
  onRun: (run: TargetRun, machine: SoakMachine) => void;
  /** Called when the daemon's process has ended without a signal. */
  onUnexpectedExit: (machine: SoakMachine, code: number | null) => void;
}

const SLOTS = 6;
const SERVICE_MS = 30;
/** Times of a planned stop, in milliseconds: as deploy/settings.jsonc sets them. */
const LAME_DUCK_MS = 2_500;
const DRAIN_TIMEOUT_MS = 6_000;
/** Time from the end of a process to the start of the next one, in milliseconds. */
const RESTART_DELAY_MS = 300;
/** Time after a fault for which a machine is not held to bounds in time, in milliseconds: the sites' `stable_window`. */
const STABLE_MS = 4_000;
/** Networks of the loopback interface: what others dial, what listens, and what the daemon dials. */
enum Network {
  Outside = 1,
  Daemon = 2,
  Inside = 3,
  Target = 4,
}

/** One machine: a target, the daemon's process beside it, and a proxy on each of its ways. */
export class SoakMachine {
  readonly pool: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly target: PlatformTarget;
  readonly paths = new Map<MachinePath, FaultProxy>();
  readonly #options: SoakMachineOptions;
  #child: ChildProcess | undefined;
  #ended: Promise<number | null> = Promise.resolve(0);
  #starts = 0;
  #harmedUntilMs = -Infinity;
  #isEndExpected = false;
  #isClosing = false;

  /** @param options See {@linkcode SoakMachineOptions}. */
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

  /** @returns Name of the machine, which is the address that others dial. */
  get id(): string {
    return this.#address(Network.Outside, 0).host;
  }

  /** @returns Origin for callers. */
  get origin(): string {
    return `http://${this.id}:${this.#options.ports.callers}`;
  }

  /** @returns Whether the daemon says that it is ready, as the platform asks it. */
  async isServing(): Promise<boolean> {
    const { host, port } = this.#address(Network.Daemon, this.#options.ports.operators);
    try {
      const res = await request(`http://${host}:${port}/health`);
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      // Nothing listens yet.
      return false;
    }
  }

  /** @returns `host:port` of the target as its entry names it. */
  get targetAddress(): string {
    return `${this.id}:${this.#options.ports.target}`;
  }

  /** @returns Name for the next run of the target. */
  makeTargetId(): string {
    this.#starts += 1;
    return `i-${this.#options.number}-${this.#starts}`;
  }

  /** Opens the ways and starts the daemon. */
  async start(): Promise<void> {
    const { ports, store, timer } = this.#options;
    const ways: [MachinePath, Address, Address][] = [
      [
        MachinePath.Callers,
        this.#address(Network.Outside, ports.callers),
        this.#address(Network.Daemon, ports.callers),
      ],
      [
        MachinePath.Peers,
        this.#address(Network.Outside, ports.peers),
        this.#address(Network.Daemon, ports.peers),
      ],
      [
        MachinePath.Target,
        this.#address(Network.Inside, ports.target),
        this.#address(Network.Target, ports.target),
      ],
      [MachinePath.Store, this.#address(Network.Inside, ports.store), store],
    ];
    for (const [path, from, to] of ways) {
      this.paths.set(path, await FaultProxy.listen(timer, { from, to }));
    }
    this.writeSettings(LAME_DUCK_MS);
    this.startDaemon();
  }

  /** @param lameDuckMs A setting that a running daemon can take on. */
  writeSettings(lameDuckMs: number): void {
    const { ports, regions } = this.#options;
    const { failureDomain, pool } = this;
    const listener = (port: number) => this.#address(Network.Daemon, port);
    const inside = this.#address(Network.Inside, 0).host;
    const settings = {
      instance: { id: this.id, pool, failureDomain },
      callers: listener(ports.callers),
      peers: listener(ports.peers),
      operators: listener(ports.operators),
      target: { url: `http://${inside}:${ports.target}`, probePeriodMs: 1_000 },
      platform: { kind: 'store', url: `http://${inside}:${ports.store}`, regions },
      decisions: { foreignEntry: 'forward', seed: this.#options.number },
      lameDuckMs,
      drainTimeoutMs: DRAIN_TIMEOUT_MS,
    };
    writeFileSync(this.#settingsFile, JSON.stringify(settings));
  }

  /**
   * Starts the daemon's process, and another one each time it has ended, as the
   * platform does.
   */
  startDaemon(): void {
    const { folder, timer, onUnexpectedExit: onOwnEnd } = this.#options;
    const program = fileURLToPath(new URL('../daemon/main.js', import.meta.url));
    const log = createWriteStream(join(folder, `${this.id}.log`), { flags: 'a' });
    const child = spawn(process.execPath, [program, `--settings=${this.#settingsFile}`], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    child.stdout.pipe(log);
    const endWithSoak = () => child.kill('SIGKILL');
    process.once('exit', endWithSoak);
    child.once('close', () => process.off('exit', endWithSoak));
    this.#child = child;
    this.#isEndExpected = false;
    this.#ended = new Promise((resolve) => child.once('close', resolve));
    void this.#ended.then(async (code) => {
      if (this.#isClosing) return;
      if (!this.#isEndExpected) onOwnEnd(this, code);
      await sleep(timer, RESTART_DELAY_MS);
      this.#restart();
    });
  }

  /**
   * @param signal A signal for the daemon's process.
   * @returns Exit code of that process once it has ended, if the signal ends it.
   */
  sendSignal(
    signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP',
  ): Promise<number | null> {
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.#isEndExpected = true;
    this.#child?.kill(signal);
    return this.#ended;
  }

  /**
   * Notes an unplanned fault on the machine or its ways.
   *
   * @param untilMs Moment at which it ends.
   */
  recordFault(untilMs: number): void {
    this.#harmedUntilMs = Math.max(this.#harmedUntilMs, untilMs);
  }

  /**
   * @param sinceMs A moment.
   * @returns Whether no unplanned fault has harmed the machine since then, nor shortly before.
   */
  wasFaultFreeSince(sinceMs: number): boolean {
    return this.#harmedUntilMs + STABLE_MS < sinceMs;
  }

  /** Ends the daemon, the target and the ways. */
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
