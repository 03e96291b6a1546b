import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { serve } from '@hono/node-server';
import { Hono } from 'hono';
import type { ListenError } from './listen_error.ts';

/** What operators may ask a daemon. */
export interface OperatorView {
  /** @returns Whether the daemon serves calls. */
  isServing: () => boolean;
  /** @returns State of the daemon. */
  status: () => object;
  /** @returns Routes in force. */
  routes: () => object[];
  /**
   * @param callId Identifier of a call.
   * @returns The log lines that concern it, oldest first.
   */
  explain: (callId: string) => string[];
}

/** Options of {@linkcode OperatorServer.listen}. */
export interface OperatorServerOptions {
  host: string;
  /** Port to listen on; zero for any. */
  port: number;
  view: OperatorView;
}

/** Answers operators over HTTP. */
export class OperatorServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /**
   * @param options See {@linkcode OperatorServerOptions}.
   * @returns The server once it listens, or why it cannot.
   */
  static listen({
    host,
    port,
    view,
  }: OperatorServerOptions): Promise<Result<OperatorServer, ListenError>> {
    const app = new Hono();
    app.get('/health', (ctx) =>
      ctx.json({ serving: view.isServing() }, view.isServing() ? 200 : 503),
    );
    app.get('/status', (ctx) => ctx.json(view.status()));
    app.get('/routes', (ctx) => ctx.json(view.routes()));
    app.get('/explain/:call', (ctx) => ctx.json(view.explain(ctx.req.param('call'))));
    return new Promise((resolve) => {
      const server = serve({ fetch: app.fetch, port, hostname: host }, () => {
        resolve(ok(new OperatorServer(server)));
      }) as Server;
      server.once('error', ({ message }) => {
        resolve(err({ detail: message }));
      });
    });
  }

  /** @returns The port that it listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops accepting connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
