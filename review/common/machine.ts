/* eslint-disable no-restricted-globals, no-restricted-properties */
/**
 * A machine of the platform: a backend stand-in, and the daemon beside it as the deploy file starts it.
 *
 * @module
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { createServer, request, type RequestListener, type Server } from 'node:http';
import { createServer as createTcpServer, type AddressInfo, type Socket } from 'node:net';
import { join } from 'node:path';

/** Regions of the zones that the settings name. */
export const REGIONS: Readonly<Record<string, string>> = {
  'centro-a': 'ar-centro',
  'norte-a': 'ar-norte',
  'sur-a': 'ar-sur',
};
const START_TIMEOUT_MS = 15_000;
/** Bounds of the sites, as the settings state them. */
const BOUNDS: Readonly<Record<string, string | number>> = { grace: '6s', budget_slack: 62 };

/** Ports, the same on all machines. */
export interface Ports {
  inbound: number;
  outbound: number;
  ready: number;
  app: number;
  first: number;
  last: number;
}

/** Options of {@linkcode Machine}. */
export interface MachineOptions {
  /** Number of the machine, the last byte of its address. */
  number: number;
  service: string;
  zone: string;
  ports: Ports;
  /** `host:port` of the store. */
  store: string;
  /** Temporary folder for settings and logs. */
  folder: string;
}

/**
 * Waits.
 *
 * @param ms Milliseconds.
 */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Finds free ports.
 *
 * @returns One port for each purpose.
 */
export async function findPorts(): Promise<Ports> {
  const servers = Array.from({ length: 6 }, () => createTcpServer());
  await Promise.all(
    servers.map((each) => new Promise<void>((resolve) => each.listen(0, '127.0.0.1', resolve))),
  );
  const ports = servers.map((each) => (each.address() as AddressInfo).port);
  await Promise.all(servers.map((each) => new Promise((resolve) => each.close(resolve))));
  const [inbound = 0, outbound = 0, ready = 0, app = 0, first = 0, last = 0] = ports;
  return { inbound, outbound, ready, app, first, last };
}

/** A machine with a backend and a daemon. */
export class Machine {
  readonly ip: string;
  readonly options: MachineOptions;
  readonly #sockets = new Set<Socket>();
  #backend: Server | undefined;
  #child: ChildProcess | undefined;
  #exited: Promise<string> = Promise.resolve('not started');
  #starts = 0;

  /** @param options See {@linkcode MachineOptions}. */
  constructor(options: MachineOptions) {
    this.options = options;
    this.ip = `127.41.0.${options.number}`;
  }

  /** @returns `host:port` at which clients reach the daemon. */
  get outbound(): { host: string; port: number } {
    return { host: this.ip, port: this.options.ports.outbound };
  }

  /** @returns How the daemon's process ended, once it has. */
  get exited(): Promise<string> {
    return this.#exited;
  }

  /**
   * Starts the backend.
   *
   * @param listener Serves its requests.
   */
  async startBackend(listener: RequestListener): Promise<void> {
    const server = createServer(listener);
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    this.#backend = server;
    await new Promise<void>((resolve) => {
      server.listen(this.options.ports.app, this.ip, resolve);
    });
  }

  /** Ends the backend and resets its connections. */
  async stopBackend(): Promise<void> {
    const server = this.#backend;
    this.#backend = undefined;
    if (!server) return;
    const closed = new Promise((resolve) => server.close(resolve));
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await closed;
  }

  /** Starts the daemon with the command of the deploy file. */
  startDaemon(): void {
    this.#starts += 1;
    const { folder } = this.options;
    const settings = join(folder, `${this.ip}.settings`);
    writeFileSync(settings, renderSettings(this));
    const [program = '', ...args] = readCommand();
    const child = spawn(program, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, RHUBARBKEEL_SETTINGS: settings },
    });
    const log = createWriteStream(join(folder, `${this.ip}-${this.#starts}.log`));
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    const kill = () => child.kill('SIGKILL');
    process.once('exit', kill);
    this.#child = child;
    this.#exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        process.off('exit', kill);
        resolve(signal ?? `status ${code ?? ''}`);
      });
    });
  }

  /**
   * Sends a signal to the daemon.
   *
   * @param signal The signal.
   */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** @returns Whether the daemon answers the readiness check with 200. */
  isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const options = { host: this.ip, port: this.options.ports.ready, path: '/health' };
      const req = request({ ...options, timeout: 1_000, agent: false }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('error', () => {
        resolve(false);
      });
      req.on('timeout', () => req.destroy());
      req.end();
    });
  }

  /** @returns Whether the daemon was ready in time. */
  async waitUntilReady(): Promise<boolean> {
    const endMs = Date.now() + START_TIMEOUT_MS;
    while (Date.now() < endMs) {
      if (await this.isReady()) return true;
      await sleep(50);
    }
    return false;
  }

  /** Kills the daemon if it runs, and stops the backend. */
  async close(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.#exited;
    await this.stopBackend();
  }
}

/** Reads the command of the role from the deploy file. */
function readCommand(): string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1] ?? '';
  return run.split(' ');
}

/** Fills in the template of the settings, as far as it uses placeholders. */
function renderSettings({ ip, options }: Machine): string {
  const { ports, service, zone, store } = options;
  const fields = {
    ip,
    service,
    zone,
    zones: REGIONS,
    listen: {
      inbound: `${ip}:${ports.inbound}`,
      outbound: `${ip}:${ports.outbound}`,
      ready: `${ip}:${ports.ready}`,
    },
    port_range: [ports.first, ports.last],
    app_addr: `${ip}:${ports.app}`,
    platform: { address: store },
    bounds: BOUNDS,
  };
  const template = readFileSync('deploy/settings.jsonc', 'utf8');
  return template.replace(/\{\{([a-z_.0-9]+)(\|json)?\}\}/g, (_, path: string, json?: string) => {
    let value: unknown = fields;
    for (const name of path.split('.')) value = (value as Record<string, unknown>)[name];
    return json === undefined ? String(value) : JSON.stringify(value);
  });
}
