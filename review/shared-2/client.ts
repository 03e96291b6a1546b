/* eslint-disable no-restricted-globals */
import { once } from 'node:events';
import { request, type Agent, type ClientRequest } from 'node:http';
import { now, type Deployment, type Machine } from './deployment.ts';

/** A request to send. */
export interface RequestOptions {
  id: string;
  method: 'GET' | 'POST';
  path: string;
  deadlineMs: number;
  agent: Agent;
  /** Writes the body; none is sent by default. */
  body?: { bytes: number; write: (send: (part: Buffer) => Promise<void>) => Promise<void> };
}

/** What a client has seen of its request. */
export interface ClientResult {
  id: string;
  sentAtMs: number;
  /** Time until the answer was complete or the connection ended; until it gave up otherwise. */
  elapsedMs: number;
  status: number | undefined;
  isSigned: boolean;
  /** Bytes of the answer's body that were read. */
  bytes: number;
  /** Length of the answer's body as its head states it. */
  statedBytes: number | undefined;
  isComplete: boolean;
  /** Code of the error with which the connection ended, if it did. */
  error: string | undefined;
  hasGivenUp: boolean;
}

/**
 * Sends a request, and waits for its answer for as long as its deadline says.
 *
 * @param deployment The deployment.
 * @param machine Machine to whose daemon it is sent.
 * @param options The request.
 * @returns What was seen.
 */
export function send(
  deployment: Deployment,
  machine: Machine,
  { id, method, path, deadlineMs, agent, body }: RequestOptions,
): Promise<ClientResult> {
  return new Promise((resolve) => {
    const sentAtMs = now();
    const seen: ClientResult = {
      id,
      sentAtMs,
      elapsedMs: 0,
      status: undefined,
      isSigned: false,
      bytes: 0,
      statedBytes: undefined,
      isComplete: false,
      error: undefined,
      hasGivenUp: false,
    };
    const finish = () => {
      clearTimeout(expiry);
      seen.elapsedMs = now() - sentAtMs;
      resolve({ ...seen });
    };
    const fail = (error: NodeJS.ErrnoException) => {
      seen.error ??= error.code ?? error.message;
      finish();
    };
    const req = request({
      host: machine.ip,
      port: deployment.ports.outbound,
      method,
      path,
      agent,
      headers: {
        host: 'h.example',
        'request-id': id,
        'request-deadline': String(deadlineMs),
        ...(body && { 'content-length': body.bytes }),
      },
    });
    const expiry = setTimeout(() => {
      seen.hasGivenUp = true;
      req.destroy();
    }, deadlineMs);
    req.on('response', (res) => {
      seen.status = res.statusCode;
      seen.isSigned = res.headers['response-signature'] !== undefined;
      const length = res.headers['content-length'];
      seen.statedBytes = length === undefined ? undefined : Number(length);
      res.on('data', (part: Buffer) => {
        seen.bytes += part.length;
      });
      res.on('error', fail);
      res.on('end', () => {
        seen.isComplete = res.complete;
        // The connection carries the next request only after all of this one.
        void bodySent.then(finish);
      });
    });
    req.on('error', fail);
    const bodySent = body ? writeBody(req, body.write) : Promise.resolve();
    void bodySent.then(() => {
      if (!req.destroyed) req.end();
    });
  });
}

async function writeBody(
  req: ClientRequest,
  write: (send: (part: Buffer) => Promise<void>) => Promise<void>,
): Promise<void> {
  await write(async (part) => {
    if (req.destroyed || req.write(part)) return;
    const wait = new AbortController();
    const events = ['drain', 'close'].map((name) => once(req, name, { signal: wait.signal }));
    await Promise.race(events).catch(() => undefined);
    wait.abort();
    await Promise.allSettled(events);
  });
}
