import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { HeaderName, resetSocket } from '../link/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { readBody } from './read_body.ts';

/** Behaviour of a {@linkcode TargetStandIn}. */
export interface TargetBehaviour {
  /** Execution time of a call, in milliseconds. */
  serviceMs: number;
  /** Number of calls that it executes at the same time; further calls are queued. */
  slots: number;
  /** Number of calls that it can execute at the same time while cold; more count as overloads. */
  coldSlots: number;
  /** Time after its start for which it is cold, in milliseconds. */
  coldMs: number;
  /** Whether its health endpoint reports it as healthy while it is not draining. */
  reportsHealthy: boolean;
  /** Whether it answers every call with status 500 without delay. */
  failsFast: boolean;
  /** Whether it completes the calls that it has and sheds new ones. */
  isDraining: boolean;
}

const DEFAULT_BEHAVIOUR: TargetBehaviour = {
  serviceMs: 5,
  slots: 6,
  coldSlots: 1,
  coldMs: 0,
  reportsHealthy: true,
  failsFast: false,
  isDraining: false,
};
const PROBE_MS = 6;
/** Header of a request that crashes the target that executes it. */
export const CRASH_HEADER = 'x-crash';
/** Header with the identifier under which the executions of a call are counted. */
export const RUN_ID_HEADER = 'x-run-id';

/** Options of {@linkcode TargetStandIn}. */
export interface TargetStandInOptions {
  /** Name of the target in its answers. */
  name: string;
  behaviour?: Partial<TargetBehaviour>;
  /** Called at the start of each execution. */
  onRun?: (runId: string, name: string) => void;
}

/** Stand-in for a target: a small HTTP server with slots, cold starts and faults. */
export class TargetStandIn {
  readonly behaviour: TargetBehaviour;
  readonly #timer = new RealTimer();
  readonly #options: TargetStandInOptions;
  readonly #sockets = new Set<Socket>();
  readonly #queue: (() => void)[] = [];
  #server: Server;
  #port = 0;
  #starts = 0;
  #startedAtMs = 0;
  #running = 0;
  #runs = 0;
  #probes = 0;
  #coldOverloads = 0;

  /** @param options See {@linkcode TargetStandInOptions}. */
  constructor(options: TargetStandInOptions) {
    this.#options = options;
    this.behaviour = { ...DEFAULT_BEHAVIOUR, ...options.behaviour };
    this.#server = this.#makeServer();
  }

  /** @returns The port that it listens on; a restart keeps it. */
  get port(): number {
    return this.#port;
  }

  /** @returns Number of executions so far. */
  get runs(): number {
    return this.#runs;
  }

  /** @returns Number of health probes so far. */
  get probes(): number {
    return this.#probes;
  }

  /** @returns Number of calls beyond {@linkcode TargetBehaviour.coldSlots} received while cold. */
  get coldOverloads(): number {
    return this.#coldOverloads;
  }

  /** Starts the target on the loopback interface; it is cold at first. */
  async listen(): Promise<void> {
    this.#starts += 1;
    this.#startedAtMs = this.#timer.now();
    await new Promise<void>((resolve) => {
      this.#server.listen(this.#port, '127.0.0.1', resolve);
    });
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Ends the process without a drain and resets all connections. */
  crash(): void {
    for (const socket of this.#sockets) resetSocket(socket);
    this.#server.close();
    this.#running = 0;
    this.#queue.length = 0;
    this.#server = this.#makeServer();
  }

  #makeServer(): Server {
    const server = createServer((req, res) => {
      void this.#serve(req, res);
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    return server;
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    res.setHeader(HeaderName.TargetIncarnation, `${this.#options.name}/${this.#starts}`);
    if (req.url === '/health') {
      await this.#answerProbe(res);
      return;
    }
    if (this.behaviour.failsFast) {
      res.writeHead(500).end();
      return;
    }
    if (this.behaviour.isDraining) {
      const callId = String(req.headers[HeaderName.CallId]);
      res
        .writeHead(503, { [HeaderName.TargetShed]: 'draining', [HeaderName.CallId]: callId })
        .end();
      return;
    }
    const body = await readBody(req);
    if (body === undefined) return;
    await this.#acquireSlot();
    await this.#run(req, res, body);
    this.#releaseSlot();
  }

  async #run(req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    this.#runs += 1;
    const runId = req.headers[RUN_ID_HEADER];
    if (typeof runId === 'string') this.#options.onRun?.(runId, this.#options.name);
    if (req.headers[CRASH_HEADER] !== undefined) {
      this.crash();
      return;
    }
    await sleep(this.#timer, this.behaviour.serviceMs);
    if (res.destroyed) return;
    const text = JSON.stringify({
      target: this.#options.name,
      method: req.method,
      path: req.url,
      bytes: body.length,
    });
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length });
    res.end(text);
  }

  async #answerProbe(res: ServerResponse): Promise<void> {
    this.#probes += 1;
    await sleep(this.#timer, PROBE_MS);
    const isHealthy = this.behaviour.reportsHealthy && !this.behaviour.isDraining;
    res.writeHead(isHealthy ? 200 : 503).end();
  }

  async #acquireSlot(): Promise<void> {
    const isCold = this.#timer.now() - this.#startedAtMs < this.behaviour.coldMs;
    if (isCold && this.#running >= this.behaviour.coldSlots) this.#coldOverloads += 1;
    if (this.#running >= this.behaviour.slots) {
      await new Promise<void>((resolve) => {
        this.#queue.push(resolve);
      });
    }
    this.#running += 1;
  }

  #releaseSlot(): void {
    this.#running = Math.max(0, this.#running - 1);
    this.#queue.shift()?.();
  }
}
