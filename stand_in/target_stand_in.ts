import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { HeaderName, resetSocket } from '../link/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { readBody } from './read_body.ts';

/** How a target behaves. */
export interface TargetBehaviour {
  /** Time of one call, in milliseconds. */
  serviceMs: number;
  /** Calls that it runs at once; further ones wait. */
  slots: number;
  /** Calls that it bears while cold; one more and it fails. */
  coldSlots: number;
  /** Time after a start during which it is cold, in milliseconds. */
  coldMs: number;
  /** Whether its health endpoint says that it is well, whatever it is. */
  reportsHealthy: boolean;
  /** Whether it answers errors at once. */
  failsFast: boolean;
  /** Whether it finishes what it holds and sheds everything new. */
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
const PROBE_COST_MS = 6;
/** Header of a request that crashes the target that runs it. */
export const CRASH_HEADER = 'x-crash';
/** Header that names a call for counting its runs. */
export const RUN_ID_HEADER = 'x-run-id';

/** Options of {@linkcode TargetStandIn}. */
export interface TargetStandInOptions {
  /** Name that it answers with. */
  name: string;
  behaviour?: Partial<TargetBehaviour>;
  /** Called with each run, before its time is spent. */
  onRun?: (runId: string, name: string) => void;
}

/** Stands in for a target: a small HTTP server with slots, cold starts and faults. */
export class TargetStandIn {
  readonly behaviour: TargetBehaviour;
  readonly #timer = new RealTimer();
  readonly #options: TargetStandInOptions;
  readonly #sockets = new Set<Socket>();
  readonly #waiting: (() => void)[] = [];
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

  /** @returns The port that it listens on, the same after a restart. */
  get port(): number {
    return this.#port;
  }

  /** @returns Calls run so far. */
  get runs(): number {
    return this.#runs;
  }

  /** @returns Health probes answered so far. */
  get probes(): number {
    return this.#probes;
  }

  /** @returns Times that it got more calls while cold than it bears. */
  get coldOverloads(): number {
    return this.#coldOverloads;
  }

  /** Listens on the loopback interface; starts cold. */
  async listen(): Promise<void> {
    this.#starts += 1;
    this.#startedAtMs = this.#timer.now();
    await new Promise<void>((resolve) => {
      this.#server.listen(this.#port, '127.0.0.1', resolve);
    });
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Ends at once, cutting every connection. */
  crash(): void {
    for (const socket of this.#sockets) resetSocket(socket);
    this.#server.close();
    this.#running = 0;
    this.#waiting.length = 0;
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
      res.writeHead(503, { [HeaderName.TargetShed]: 'draining' }).end();
      return;
    }
    const body = await readBody(req);
    if (body === undefined) return;
    await this.#enter();
    await this.#run(req, res, body);
    this.#leave();
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
    await sleep(this.#timer, PROBE_COST_MS);
    const isWell = this.behaviour.reportsHealthy && !this.behaviour.isDraining;
    res.writeHead(isWell ? 200 : 503).end();
  }

  async #enter(): Promise<void> {
    const isCold = this.#timer.now() - this.#startedAtMs < this.behaviour.coldMs;
    if (isCold && this.#running >= this.behaviour.coldSlots) this.#coldOverloads += 1;
    if (this.#running >= this.behaviour.slots) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    this.#running += 1;
  }

  #leave(): void {
    this.#running = Math.max(0, this.#running - 1);
    this.#waiting.shift()?.();
  }
}
