/* eslint-disable no-restricted-globals, no-restricted-properties, no-restricted-syntax */
/**
 * A sound backend, which runs each request for a while and answers it.
 *
 * @module
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { SLOTS } from './deployment.js';

/** A request that a backend has read and is about to run. */
export interface Arrival {
  /** Id of the backend. */
  backend: string;
  requestId: string;
  path: string;
  body: Buffer;
}

/** Options of {@linkcode makeSoundBackend}. */
export interface SoundBackendOptions {
  id: string;
  /** Time until which it is cold, in Unix milliseconds, if it has started during traffic. */
  coldUntilMs?: number;
  /** @returns Time for which the request runs, in milliseconds. */
  getWorkMs: (arrival: Arrival) => number;
  /** Called when a request begins to run. */
  onRun?: (arrival: Arrival) => void;
  /** Called when the answer of a request is sent. */
  onAnswer?: (arrival: Arrival) => void;
}

/**
 * Makes the listener of a sound backend.
 *
 * @param options See {@linkcode SoundBackendOptions}.
 * @returns The listener.
 */
export function makeSoundBackend(options: SoundBackendOptions): RequestListener {
  const { id } = options;
  const state = { running: 0 };
  return (req, res) => {
    const coldMs = Math.max(0, (options.coldUntilMs ?? 0) - Date.now());
    if (answerHealth(req, res, { id, running: state.running, coldMs })) return;
    const parts: Buffer[] = [];
    req.on('data', (part: Buffer) => parts.push(part));
    req.on('error', () => undefined);
    req.on('end', () => {
      const requestId = String(req.headers['request-id']);
      const expected = req.headers['target-instance'];
      const refusal = expected !== undefined && expected !== id ? 421 : 503;
      if (refusal === 421 || state.running >= SLOTS) {
        reject(res, { id, requestId, status: refusal, running: state.running });
        return;
      }
      const arrival = { backend: id, requestId, path: req.url ?? '', body: Buffer.concat(parts) };
      state.running += 1;
      options.onRun?.(arrival);
      setTimeout(() => {
        state.running -= 1;
        if (res.destroyed) return;
        options.onAnswer?.(arrival);
        answer(res, { id, requestId, running: state.running });
      }, options.getWorkMs(arrival));
    });
  };
}

/**
 * Answers a health check.
 *
 * @param req The request.
 * @param res Its answer.
 * @param backend Id of the backend, number of requests that it runs, and time for which it stays cold.
 * @returns Whether it was a health check.
 */
export function answerHealth(
  req: IncomingMessage,
  res: ServerResponse,
  { id, running, coldMs = 0 }: { id: string; running: number; coldMs?: number },
): boolean {
  if (req.url !== '/health') return false;
  const cold = coldMs > 0 ? { 'Cold-Remaining': `${coldMs}ms` } : {};
  res.writeHead(200, { 'Instance-Id': id, 'Instance-Load': formatLoad(running), ...cold }).end();
  return true;
}

/**
 * Answers a request with success.
 *
 * @param res Its answer.
 * @param of Id of the backend and of the request, and number of requests that the backend runs.
 */
export function answer(
  res: ServerResponse,
  { id, requestId, running }: { id: string; requestId: string; running: number },
): void {
  const body = `answer of ${id} to ${requestId}`;
  res
    .writeHead(200, {
      'Request-Id': requestId,
      'Instance-Id': id,
      'Instance-Load': formatLoad(running),
      'Response-Signature': `signed.${id}.${requestId}`,
      'Content-Length': body.length,
    })
    .end(body);
}

/**
 * Rejects a request that was not run.
 *
 * @param res Its answer.
 * @param of Id of the backend and of the request, the status, and number of requests that the backend runs.
 */
export function reject(
  res: ServerResponse,
  of: { id: string; requestId: string; status: number; running: number },
): void {
  res
    .writeHead(of.status, {
      'Request-Id': of.requestId,
      'Instance-Id': of.id,
      'Instance-Load': formatLoad(of.running),
      'Not-Executed': '1',
      'Content-Length': 0,
    })
    .end();
}

function formatLoad(running: number): string {
  return `${running},0,${SLOTS},100`;
}
