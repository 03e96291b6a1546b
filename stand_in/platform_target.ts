import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { resetSocket } from '../link/mod.ts';
import { RealTimer, sleep } from '../timer/mod.ts';
import { CALLER_POOL_HEADER, COLD_MS } from './platform_items.ts';
import { readBody } from './read_body.ts';

/** Execution of a call by a {@linkcode PlatformTarget}. */
export interface TargetRun {
  callId: string;
  targetId: string;
  method: string;
  path: string;
  callerPool: string;
  bodyBytes: number;
  /** Start of the execution, in milliseconds of the timer's clock. */
  atMs: number;
  isCold: boolean;
  /** Rate that the target names in its answers, if any. */
  rate: NamedRate | undefined;
}

/** Rate of calls that a target names. */
export interface NamedRate {
  callsPerSecond: number;
  /** Time at which it was first named, in milliseconds of the timer's clock. */
  sinceMs: number;
}

/** Options of {@linkcode PlatformTarget}. */
export interface PlatformTargetOptions {
  host: string;
  port: number;
  slots: number;
  serviceMs: number;
  timer: RealTimer;
  /** Called at the start of each execution. */
  onRun: (run: TargetRun) => void;
}

/**
 * Creates the body of a target's answer.
 *
 * @param callId Identifier of the call.
 * @param path Path and query of the call.
 * @returns The complete body.
 */
export function makeAnswer(callId: string, path: string): string {
  return JSON.stringify({ callId, path });
}

/** Stand-in for a target of the users' platform; each start is a new incarnation. */
export class PlatformTarget {
  readonly #options: PlatformTargetOptions;
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #targetId = '';
  #startedAtMs = 0;
  #running = 0;
  #rate: NamedRate | undefined;
  /** Whether its answers say that it is leaving. */
  isLeaving = false;

  /** @param options See {@linkcode PlatformTargetOptions}. */
  constructor(options: PlatformTargetOptions) {
    this.#options = options;
  }

  /** @returns Identifier of the present incarnation. */
  get targetId(): string {
    return this.#targetId;
  }

  /**
   * Names a rate of calls in all further answers of the present incarnation.
   *
   * @param callsPerSecond The rate; none if absent.
   */
  nameRate(callsPerSecond: number | undefined): void {
    this.#rate =
      callsPerSecond === undefined
        ? undefined
        : { callsPerSecond, sinceMs: this.#options.timer.now() };
  }

  /**
   * Starts a new incarnation, which is cold at first.
   *
   * @param targetId Identifier of the incarnation.
   */
  async start(targetId: string): Promise<void> {
    const { host, port, timer } = this.#options;
    this.#targetId = targetId;
    this.#startedAtMs = timer.now();
    this.#running = 0;
    this.#rate = undefined;
    this.isLeaving = false;
    const server = createServer((req, res) => {
      void this.#serve(req, res, targetId);
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    this.#server = server;
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
  }

  /** Ends the incarnation without a drain and resets all connections. */
  async crash(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (!server) return;
    const closed = new Promise((resolve) => server.close(resolve));
    for (const socket of this.#sockets) resetSocket(socket);
    await closed;
  }

  get #coldRemainingMs(): number {
    return Math.max(0, COLD_MS - (this.#options.timer.now() - this.#startedAtMs));
  }

  async #serve(req: IncomingMessage, res: ServerResponse, targetId: string): Promise<void> {
    const { slots } = this.#options;
    res.setHeader('Instance-Id', targetId);
    res.setHeader('Instance-Load', `${this.#running},0,${slots},100`);
    if (this.#coldRemainingMs > 0)
      res.setHeader('Cold-Remaining', `${Math.round(this.#coldRemainingMs)}ms`);
    if (this.#rate) res.setHeader('Server-Limit', String(this.#rate.callsPerSecond));
    if (this.isLeaving) res.setHeader('Server-Leaving', '1');
    if (req.url === '/health') {
      res.writeHead(200).end();
      return;
    }
    const body = await readBody(req);
    if (!body) return;
    const callId = String(req.headers['request-id']);
    res.setHeader('Request-Id', callId);
    const expected = req.headers['target-instance'];
    if (expected !== undefined && expected !== targetId) {
      res.writeHead(421, { 'Not-Executed': '1' }).end();
      return;
    }
    if (this.#running >= slots) {
      res.writeHead(503, { 'Not-Executed': '1' }).end();
      return;
    }
    await this.#run(req, res, { callId, targetId, body });
  }

  async #run(
    req: IncomingMessage,
    res: ServerResponse,
    { callId, targetId, body }: { callId: string; targetId: string; body: Buffer },
  ): Promise<void> {
    const { timer, serviceMs, onRun } = this.#options;
    this.#running += 1;
    onRun({
      callId,
      targetId,
      method: req.method ?? '',
      path: req.url ?? '',
      callerPool: String(req.headers[CALLER_POOL_HEADER]),
      bodyBytes: body.length,
      atMs: timer.now(),
      isCold: this.#coldRemainingMs > 0,
      rate: this.#rate,
    });
    await sleep(timer, serviceMs);
    this.#running = Math.max(0, this.#running - 1);
    if (res.destroyed) return;
    const text = makeAnswer(callId, req.url ?? '');
    res.writeHead(200, { 'Response-Signature': targetId, 'content-length': text.length }).end(text);
  }
}
