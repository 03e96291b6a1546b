/**
 * Clients of the review's scripts.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import { request, type Agent, type IncomingMessage } from 'node:http';
import { HOST, sleep, type Daemon } from './cluster.ts';

/** One attempt of a client. */
export interface ClientRequest {
  daemon: Daemon;
  id: string;
  method: 'GET' | 'POST';
  path: string;
  deadlineMs: number;
  /** Parts of the body, sent with pauses between them. */
  parts?: readonly Buffer[];
  pauseMs?: number;
  agent?: Agent;
  /** Further headers. */
  headers?: Readonly<Record<string, string>>;
}

/** What the client got. */
export interface ClientAnswer {
  status: number | undefined;
  /** Length of the body that arrived. */
  bytes: number;
  /** Why the answer is missing or incomplete. */
  error: string | undefined;
}

/** Fingerprint of bytes, as the scripts write it. */
export function digest(bytes: Buffer): string {
  return `${bytes.length} bytes ${createHash('sha256').update(bytes).digest('hex').slice(0, 12)}`;
}

/** Parts of a body that differs for each id. */
export function makeParts(id: string, count: number, size: number): Buffer[] {
  return Array.from({ length: count }, (_, index) =>
    Buffer.alloc(size, `${id} part ${index} of ${count};`),
  );
}

/** Sends a request and waits for its answer or the end of its connection. */
export function send(options: ClientRequest): Promise<ClientAnswer> {
  const { daemon, id, method, path, deadlineMs, parts = [], pauseMs = 0, agent } = options;
  return new Promise((resolve) => {
    const answer: ClientAnswer = { status: undefined, bytes: 0, error: undefined };
    const fail = (error: Error) => {
      answer.error ??= error.message;
      resolve(answer);
    };
    const receive = (res: IncomingMessage) => {
      answer.status = res.statusCode;
      res.on('data', (chunk: Buffer) => {
        answer.bytes += chunk.length;
      });
      res.on('error', fail);
      res.on('end', () => {
        resolve(answer);
      });
    };
    const headers = {
      ...options.headers,
      host: HOST,
      'request-id': id,
      'request-deadline': String(deadlineMs),
      'content-length': parts.reduce((sum, { length }) => sum + length, 0),
    };
    const { host, outboundPort: port } = daemon;
    const req = request({ host, port, method, path, headers, agent }, receive);
    req.on('error', fail);
    void sendParts();

    async function sendParts(): Promise<void> {
      for (const part of parts) {
        if (req.destroyed) return;
        req.write(part);
        if (pauseMs > 0) await sleep(pauseMs);
      }
      req.end();
    }
  });
}

/** What a client got, in words. */
export function describe({ status, bytes, error }: ClientAnswer): string {
  const ending = error === undefined ? '' : `, then: ${error}`;
  return `${status === undefined ? 'no status' : `status ${status}`}, ${bytes} bytes${ending}`;
}
