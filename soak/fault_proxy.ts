import { connect, createServer, type Server, type Socket } from 'node:net';
import { resetSocket } from '../link/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

/** How the connections through a proxy behave. */
export enum PathState {
  Open = 'open',
  /** Each part of a stream arrives late. */
  Delayed = 'delayed',
  /** Connections are reset, and new ones too. */
  Reset = 'reset',
  /** What clients send is lost. */
  DropToServer = 'cut-forward',
  /** What servers send is lost. */
  DropToClient = 'cut-backward',
  /** Nothing arrives either way, and nothing ends. */
  DropBoth = 'silent',
}

/** Delay of each part of a stream on a delayed path, in milliseconds: more than a way between regions. */
const DELAY_MS = 80;

/** `host:port` in parts. */
export interface Address {
  host: string;
  port: number;
}

/** Passes connections on and harms them as told; what was lost on a stream makes it useless for good. */
export class FaultProxy {
  readonly #timer: TimerService;
  readonly #server: Server;
  readonly #pairs = new Set<{ near: Socket; far: Socket }>();
  #state = PathState.Open;

  private constructor(timer: TimerService, to: Address) {
    this.#timer = timer;
    this.#server = createServer({ allowHalfOpen: true }, (near) => {
      this.#accept(near, to);
    });
  }

  /**
   * @param timer The source of time.
   * @param path Where to listen, and where to pass connections on to.
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

  /** @param state How connections behave from now on. */
  setState(state: PathState): void {
    this.#state = state;
    if (state === PathState.Reset) this.#resetAll();
  }

  /** Ends all connections and stops listening. */
  close(): void {
    this.#server.close();
    this.#resetAll();
  }

  #accept(near: Socket, to: Address): void {
    if (this.#state === PathState.Reset) {
      near.on('error', () => undefined);
      resetSocket(near);
      return;
    }
    const far = connect({ ...to, allowHalfOpen: true });
    const pair = { near, far };
    this.#pairs.add(pair);
    this.#pass(near, far, PathState.DropToServer);
    this.#pass(far, near, PathState.DropToClient);
    near.once('close', () => this.#pairs.delete(pair));
  }

  /** Once a part of a stream was lost, the rest of it is lost too, as on a cut that never heals. */
  #pass(from: Socket, to: Socket, cut: PathState): void {
    let isLost = false;
    const isCut = () => {
      isLost ||= this.#state === PathState.DropBoth || this.#state === cut;
      return isLost;
    };
    const later = (act: () => void) => {
      if (isCut()) return;
      if (this.#state !== PathState.Delayed) act();
      else void sleep(this.#timer, DELAY_MS).then(act);
    };
    from.on('data', (bytes: Buffer) => {
      later(() => {
        if (to.writable) to.write(bytes);
      });
    });
    from.on('end', () => {
      later(() => {
        to.end();
      });
    });
    from.on('error', () => {
      if (!isCut()) resetSocket(to);
    });
  }

  #resetAll(): void {
    for (const { near, far } of this.#pairs) {
      resetSocket(near);
      resetSocket(far);
    }
    this.#pairs.clear();
  }
}
