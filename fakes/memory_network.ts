import { err, ok, type Result } from 'neverthrow';
import {
  AsyncQueue,
  decodeFrames,
  encodeFrames,
  type DialError,
  type Dialer,
  type Frame,
  type FrameChannel,
  type FrameError,
} from '../link/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** How the way between two daemons behaves. */
export enum NetworkPathState {
  Up = 'up',
  /** Connections break and none can be opened. */
  Cut = 'cut',
  /** Connections stay open but nothing arrives. */
  Silent = 'silent',
}

/** A frame on its way. */
export interface FrameInTransit {
  frame: Frame;
  /** Sender's address. */
  from: string;
  /** Receiver's address. */
  to: string;
}

/** Decides over one frame; returns the frames to deliver in its place, with extra delays. */
export type FrameFilter = (transit: FrameInTransit) => { frame: Frame; delayMs: number }[];

/** Accepts connections at one address. */
export type AcceptHandler = (channel: FrameChannel) => void;

/** Options of {@linkcode MemoryNetwork}. */
export interface MemoryNetworkOptions {
  /** One-way delay between two addresses, in milliseconds. */
  delayMs: (from: string, to: string) => number;
}

/** Connections between daemons of one process, with the faults of a network. */
export class MemoryNetwork {
  readonly #timer: TimerService;
  readonly #options: MemoryNetworkOptions;
  readonly #listeners = new Map<string, AcceptHandler>();
  readonly #ways = new Map<string, NetworkPathState>();
  readonly #channels = new Set<MemoryChannel>();
  /** Applied to each frame before it is sent on. */
  filter: FrameFilter | undefined;
  /** Whether the process at an address stands still. */
  isPaused: ((address: string) => boolean) | undefined;
  /** Waits until the process at an address runs. */
  whenRunning: ((address: string) => Promise<void>) | undefined;

  /**
   * @param timer The source of time.
   * @param options See {@linkcode MemoryNetworkOptions}.
   */
  constructor(timer: TimerService, options: MemoryNetworkOptions) {
    this.#timer = timer;
    this.#options = options;
  }

  /**
   * @param address Address to accept connections at.
   * @param accept Called with each connection; nothing to stop accepting.
   */
  listen(address: string, accept: AcceptHandler | undefined): void {
    if (accept) this.#listeners.set(address, accept);
    else this.#listeners.delete(address);
  }

  /**
   * @param from Address of the daemon that opens connections.
   * @returns Its way to the others.
   */
  makeDialer(from: string): Dialer {
    return { dial: (to) => this.#dial(from, to) };
  }

  /**
   * Changes the way between two addresses, in both directions.
   *
   * @param left One address.
   * @param right The other.
   * @param state How it behaves from now on.
   */
  setPathState(left: string, right: string, state: NetworkPathState): void {
    this.#ways.set(wayName(left, right), state);
    if (state !== NetworkPathState.Cut) return;
    for (const channel of this.#channels) {
      if (wayName(channel.from, channel.to) === wayName(left, right)) channel.break();
    }
  }

  /**
   * Breaks every connection of an address, as the end of its process does.
   *
   * @param address The address.
   */
  breakConnections(address: string): void {
    for (const channel of this.#channels) {
      if (channel.from === address || channel.to === address) channel.break();
    }
  }

  /**
   * @param from Sender's address.
   * @param to Receiver's address.
   * @returns How the way between them behaves.
   */
  getPathState(from: string, to: string): NetworkPathState {
    return this.#ways.get(wayName(from, to)) ?? NetworkPathState.Up;
  }

  async #dial(from: string, to: string): Promise<Result<FrameChannel, DialError>> {
    await this.#wait(2 * this.#options.delayMs(from, to));
    const accept = this.#listeners.get(to);
    if (!accept || this.getPathState(from, to) !== NetworkPathState.Up) {
      return err({ detail: `${to}: connection refused` });
    }
    const near = this.#makeChannel(from, to);
    const far = this.#makeChannel(to, from);
    near.connect(far);
    far.connect(near);
    accept(far);
    return ok(near);
  }

  #makeChannel(from: string, to: string): MemoryChannel {
    const channel = new MemoryChannel(from, to, {
      timer: this.#timer,
      delayMs: this.#options.delayMs(from, to),
      isSilent: () => this.getPathState(from, to) === NetworkPathState.Silent,
      filter: (transit) => this.filter?.(transit) ?? [{ frame: transit.frame, delayMs: 0 }],
      whenRunning: () => this.whenRunning?.(to) ?? Promise.resolve(),
      isPaused: () => this.isPaused?.(to) ?? false,
      onClose: () => this.#channels.delete(channel),
    });
    this.#channels.add(channel);
    return channel;
  }

  #wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#timer.after(delayMs, resolve);
    });
  }
}

interface MemoryChannelOptions {
  timer: TimerService;
  delayMs: number;
  isSilent: () => boolean;
  filter: FrameFilter;
  /** Whether the receiver stands still. */
  isPaused: () => boolean;
  whenRunning: () => Promise<void>;
  onClose: () => void;
}

/** One end of a connection in memory. Frames are encoded, so that their size is the real one. */
class MemoryChannel implements FrameChannel {
  readonly from: string;
  readonly to: string;
  readonly #options: MemoryChannelOptions;
  readonly #received = new AsyncQueue<Result<Frame, FrameError>>();
  #other: MemoryChannel | undefined;
  #isOpen = true;
  sentBytes = 0;
  receivedBytes = 0;

  constructor(from: string, to: string, options: MemoryChannelOptions) {
    this.from = from;
    this.to = to;
    this.#options = options;
  }

  connect(other: MemoryChannel): void {
    this.#other = other;
  }

  send(frame: Frame): void {
    if (!this.#isOpen) return;
    const { timer, delayMs, filter } = this.#options;
    for (const each of filter({ frame, from: this.from, to: this.to })) {
      const message = encodeFrames([each.frame]);
      this.sentBytes += message.length;
      timer.after(delayMs + each.delayMs, () => {
        if (!this.#options.isSilent()) void this.#deliver(message);
      });
    }
  }

  /** A process that stands still reads its connections once it runs again. */
  async #deliver(message: Buffer): Promise<void> {
    if (this.#options.isPaused()) await this.#options.whenRunning();
    this.#other?.receive(message);
  }

  frames(): AsyncIterable<Result<Frame, FrameError>> {
    return this.#received;
  }

  close(): void {
    const { timer, delayMs } = this.#options;
    timer.after(delayMs, () => {
      this.break();
    });
  }

  terminate(): void {
    this.#end();
    const { timer, delayMs } = this.#options;
    timer.after(delayMs, () => {
      if (!this.#options.isSilent()) this.#other?.break();
    });
  }

  /** Ends this side at once, and the other side too. */
  break(): void {
    if (!this.#isOpen) return;
    this.#end();
    this.#other?.break();
  }

  receive(message: Buffer): void {
    if (!this.#isOpen) return;
    this.receivedBytes += message.length;
    const decoded = decodeFrames(message);
    if (decoded.isErr()) this.#received.push(err(decoded.error));
    else for (const frame of decoded.value) this.#received.push(ok(frame));
  }

  #end(): void {
    this.#isOpen = false;
    this.#received.discard();
    this.#options.onClose();
  }
}

function wayName(left: string, right: string): string {
  return left < right ? `${left} ${right}` : `${right} ${left}`;
}
