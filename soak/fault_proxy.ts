import { connect, createServer, type Server, type Socket } from 'node:net';
import { resetSocket } from '../link/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

/** How a proxy treats the connections through it. */
export enum PathState {
  Open = 'open',
  /** Each chunk of a stream arrives after a delay. */
  Delayed = 'delayed',
  /** Open and new connections are reset. */
  Reset = 'reset',
  /** Data from clients is dropped. */
  DropToServer = 'cut-forward',
  /** Data from servers is dropped. */
  DropToClient = 'cut-backward',
  /** Data is dropped in both directions; connections stay open. */
  DropBoth = 'silent',
}

/** Delay of each chunk on a delayed path, in milliseconds: longer than the delay between regions. */
const DELAY_MS = 80;

/** A host and a port. */
export interface Address {
  host: string;
  port: number;
}

/** Forwards TCP connections and injects faults. A stream that has lost data never recovers. */
export class FaultProxy {
  readonly #timer: TimerService;
  readonly #server: Server;
  readonly #connections = new Set<{ client: Socket; server: Socket }>();
  #state = PathState.Open;

  private constructor(timer: TimerService, to: Address) {
    this.#timer = timer;
    this.#server = createServer({ allowHalfOpen: true }, (client) => {
      this.#accept(client, to);
    });
  }

  /**
   * Starts a proxy.
   *
   * @param timer The clock.
   * @param path Address to listen on, and address to forward connections to.
   * @returns The proxy, once it listens.
   */
  static async listen(
    timer: TimerService,
    path: { from: Address; to: Address },
  ): Promise<FaultProxy> {
    const proxy = new FaultProxy(timer, path.to);
    const { host, port } = path.from;
    await new Promise<void>((resolve) => proxy.#server.listen(port, host, resolve));
    return proxy;
  }

  /** @param state State of all open and future connections. */
  setState(state: PathState): void {
    this.#state = state;
    if (state === PathState.Reset) this.#resetAll();
  }

  /** Resets all connections and stops listening. */
  close(): void {
    this.#server.close();
    this.#resetAll();
  }

  #accept(client: Socket, to: Address): void {
    if (this.#state === PathState.Reset) {
      client.on('error', () => undefined);
      resetSocket(client);
      return;
    }
    const server = connect({ ...to, allowHalfOpen: true });
    const connection = { client, server };
    this.#connections.add(connection);
    this.#forward(client, server, PathState.DropToServer);
    this.#forward(server, client, PathState.DropToClient);
    client.once('close', () => this.#connections.delete(connection));
  }

  /** Forwards a stream in one direction. After the first dropped chunk, the rest is dropped too. */
  #forward(from: Socket, to: Socket, dropState: PathState): void {
    let isStreamDropped = false;
    const mustDrop = () => {
      isStreamDropped ||= this.#state === PathState.DropBoth || this.#state === dropState;
      return isStreamDropped;
    };
    const deliver = (action: () => void) => {
      if (mustDrop()) return;
      if (this.#state !== PathState.Delayed) action();
      else void sleep(this.#timer, DELAY_MS).then(action);
    };
    from.on('data', (bytes: Buffer) => {
      deliver(() => {
        if (to.writable) to.write(bytes);
      });
    });
    from.on('end', () => {
      deliver(() => {
        to.end();
      });
    });
    from.on('error', () => {
      if (!mustDrop()) resetSocket(to);
    });
  }

  #resetAll(): void {
    for (const { client, server } of this.#connections) {
      resetSocket(client);
      resetSocket(server);
    }
    this.#connections.clear();
  }
}
