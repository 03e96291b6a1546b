/* eslint-disable no-restricted-globals, no-restricted-properties */
/**
 * Clients of a machine.
 *
 * @module
 */
import { request } from 'node:http';
import { HOST } from './deployment.js';
import type { Machine } from './machine.js';

/** A request of a client. */
export interface ClientRequest {
  id: string;
  method: 'GET' | 'POST';
  path: string;
  deadlineMs: number;
  body?: Buffer;
}

/** What a client saw of its request. */
export interface Seen {
  sentAtMs: number;
  elapsedMs: number;
  /** Status of a complete answer; otherwise how it ended. */
  status: number | 'closed' | 'no answer';
}

/**
 * Sends a request over a connection of its own, and waits for its answer until its deadline.
 *
 * @param machine The machine whose daemon gets it.
 * @param req The request.
 * @returns What the client saw.
 */
export function send(machine: Machine, req: ClientRequest): Promise<Seen> {
  const { id, method, path, deadlineMs, body } = req;
  const sentAtMs = Date.now();
  return new Promise((resolve) => {
    const finish = (status: Seen['status']) => {
      clearTimeout(timeout);
      resolve({ sentAtMs, elapsedMs: Date.now() - sentAtMs, status });
    };
    const headers: Record<string, string> = {
      host: HOST,
      'request-id': id,
      'request-deadline': String(deadlineMs),
    };
    if (body) headers['content-length'] = String(body.length);
    const outgoing = request(
      { ...machine.outbound, method, path, headers, agent: false },
      (res) => {
        res.resume();
        res.on('end', () => {
          finish(res.complete ? (res.statusCode ?? 0) : 'closed');
        });
        res.on('error', () => {
          finish('closed');
        });
      },
    );
    const timeout = setTimeout(() => {
      outgoing.destroy();
      finish('no answer');
    }, deadlineMs);
    outgoing.on('error', () => {
      finish('closed');
    });
    outgoing.end(body);
  });
}
