import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Result } from 'neverthrow';
import { listen, type ListenError } from './listen.ts';

/** State of a daemon that operators can query. */
export interface OperatorView {
  /** @returns Whether the daemon serves calls. */
  isServing: () => boolean;
  /** @returns State of the daemon. */
  getStatus: () => object;
  /** @returns Routes in force. */
  getRoutes: () => object[];
  /**
   * Finds the log lines of a call.
   *
   * @param callId Identifier of the call.
   * @returns The lines, oldest first.
   */
  explain: (callId: string) => string[];
  /** @returns Counters and histograms, in the text format of Prometheus. */
  renderMetrics: () => Promise<string>;
}

/** Options of {@linkcode OperatorServer.listen}. */
export interface OperatorServerOptions {
  host: string;
  /** Port to listen on; zero for any. */
  port: number;
  view: OperatorView;
}

const EXPLAIN_PATH = '/explain/';

/** HTTP server for operators: `/health`, `/status`, `/routes`, `/metrics` and `/explain/CALL`. */
export class OperatorServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /**
   * Starts a server.
   *
   * @param options See {@linkcode OperatorServerOptions}.
   * @returns The server once it listens, or why it cannot.
   */
  static async listen(
    options: OperatorServerOptions,
  ): Promise<Result<OperatorServer, ListenError>> {
    const server = createServer((incoming, outgoing) => {
      void respond(incoming.url ?? '/', outgoing, options.view);
    });
    return (await listen(server, options)).map(() => new OperatorServer(server));
  }

  /** @returns The port that the server listens on. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops accepting connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

async function respond(path: string, outgoing: ServerResponse, view: OperatorView): Promise<void> {
  if (path === '/health') {
    const serving = view.isServing();
    sendJson(outgoing, serving ? 200 : 503, { serving });
  } else if (path === '/status') sendJson(outgoing, 200, view.getStatus());
  else if (path === '/routes') sendJson(outgoing, 200, view.getRoutes());
  else if (path === '/metrics') {
    const text = await view.renderMetrics();
    outgoing.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
  } else if (path.startsWith(EXPLAIN_PATH)) {
    sendJson(outgoing, 200, view.explain(decodeURIComponent(path.slice(EXPLAIN_PATH.length))));
  } else sendJson(outgoing, 404, { detail: `expected a path of an operator, got ${path}` });
}

function sendJson(outgoing: ServerResponse, status: number, value: object): void {
  const text = JSON.stringify(value);
  outgoing.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  outgoing.end(text);
}
