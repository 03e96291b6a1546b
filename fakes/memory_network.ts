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

/** State of the network path between two daemons. */
export enum NetworkPathState {
  Up = 'up',
  /** Open connections break and new ones are refused. */
  Cut = 'cut',
  /** Connections stay open but frames are lost. */
  Silent = 'silent',
}

/** A frame in transit. */
export interface FrameInTransit {
  frame: Frame;
  /** Sender's address. */
  from: string;
  /** Receiver's address. */
  to: string;
}

/** Returns the frames to deliver in place of a frame, each with an extra delay in milliseconds. */
export type FrameFilter = (transit: FrameInTransit) => { frame: Frame; delayMs: number }[];

/** Handles a connection that is opened to an address. */
export type AcceptHandler = (channel: FrameChannel) => void;

/** Options of {@linkcode MemoryNetwork}. */
export interface MemoryNetworkOptions {
  /** One-way delay between two addresses, in milliseconds. */
  delayMs: (from: string, to: string) => number;
}

/** In-memory network between the daemons of one process, with network faults. */
export class MemoryNetwork {
  readonly #timer: TimerService;
  readonly #options: MemoryNetworkOptions;
  readonly #listeners = new Map<string, AcceptHandler>();
  readonly #pathStates = new Map<string, NetworkPathState>();
  readonly #channels = new Set<MemoryChannel>();
  /** Applied to each frame when it is sent. */
  filter: FrameFilter | undefined;
  /** Reports whether the process at an address is paused. */
  isPaused: ((address: string) => boolean) | undefined;
  /** Waits until the process at an address is not paused. */
  whenRunning: ((address: string) => Promise<void>) | undefined;

  /**
   * @param timer The timer for the delays.
   * @param options See {@linkcode MemoryNetworkOptions}.
   */
  constructor(timer: TimerService, options: MemoryNetworkOptions) {
    this.#timer = timer;
    this.#options = options;
  }

  /**
   * Starts or stops accepting connections at an address.
   *
   * @param address The address.
   * @param accept Called with each connection; `undefined` to stop accepting.
   */
  listen(address: string, accept: AcceptHandler | undefined): void {
    if (accept) this.#listeners.set(address, accept);
    else this.#listeners.delete(address);
  }

  /**
   * Creates a dialer.
   *
   * @param from Address of the daemon that opens connections.
   * @returns The dialer of that daemon.
   */
  makeDialer(from: string): Dialer {
    return { dial: (to) => this.#dial(from, to) };
  }

  /**
   * Changes the state of the network path between two addresses, in both directions.
   *
   * @param first One address.
   * @param second The other.
   * @param state The new state.
   */
  setPathState(first: string, second: string, state: NetworkPathState): void {
    this.#pathStates.set(makePathKey(first, second), state);
    if (state !== NetworkPathState.Cut) return;
    for (const channel of this.#channels) {
      if (makePathKey(channel.from, channel.to) === makePathKey(first, second)) channel.break();
    }
  }

  /**
   * Breaks every connection of an address, as happens when its process ends.
   *
   * @param address The address.
   */
  breakConnections(address: string): void {
    for (const channel of this.#channels) {
      if (channel.from === address || channel.to === address) channel.break();
    }
  }

  /** Makes all open connections silent for good, without an error; new ones work. */
  silenceConnections(): void {
    for (const channel of this.#channels) channel.silence();
  }

  /**
   * Returns the state of a network path.
   *
   * @param from Sender's address.
   * @param to Receiver's address.
   * @returns The state of the path between them.
   */
  getPathState(from: string, to: string): NetworkPathState {
    return this.#pathStates.get(makePathKey(from, to)) ?? NetworkPathState.Up;
  }

  async #dial(from: string, to: string): Promise<Result<FrameChannel, DialError>> {
    await this.#delay(2 * this.#options.delayMs(from, to));
    const accept = this.#listeners.get(to);
    if (!accept || this.getPathState(from, to) !== NetworkPathState.Up) {
      return err({ detail: `${to}: connection refused` });
    }
    const dialerEnd = this.#makeChannel(from, to);
    const listenerEnd = this.#makeChannel(to, from);
    dialerEnd.connect(listenerEnd);
    listenerEnd.connect(dialerEnd);
    accept(listenerEnd);
    return ok(dialerEnd);
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

  #delay(delayMs: number): Promise<void> {
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
  /** Reports whether the receiver is paused. */
  isPaused: () => boolean;
  /** Waits until the receiver is not paused. */
  whenRunning: () => Promise<void>;
  onClose: () => void;
}

/** One end of an in-memory connection. Frames are encoded so that the byte counts are real. */
class MemoryChannel implements FrameChannel {
  readonly from: string;
  readonly to: string;
  readonly #options: MemoryChannelOptions;
  readonly #receivedFrames = new AsyncQueue<Result<Frame, FrameError>>();
  #otherEnd: MemoryChannel | undefined;
  #isOpen = true;
  #isSilenced = false;
  sentBytes = 0;
  receivedBytes = 0;

  constructor(from: string, to: string, options: MemoryChannelOptions) {
    this.from = from;
    this.to = to;
    this.#options = options;
  }

  connect(otherEnd: MemoryChannel): void {
    this.#otherEnd = otherEnd;
  }

  send(frame: Frame): void {
    if (!this.#isOpen) return;
    const { timer, delayMs, filter } = this.#options;
    for (const each of filter({ frame, from: this.from, to: this.to })) {
      const message = encodeFrames([each.frame]);
      this.sentBytes += message.length;
      timer.after(delayMs + each.delayMs, () => {
        if (!this.#isSilent) void this.#deliver(message);
      });
    }
  }

  /** Stops delivering anything, the end of the connection included. */
  silence(): void {
    this.#isSilenced = true;
  }

  get #isSilent(): boolean {
    return this.#isSilenced || this.#options.isSilent();
  }

  /** Delivers a message; a paused process reads it after it resumes. */
  async #deliver(message: Buffer): Promise<void> {
    if (this.#options.isPaused()) await this.#options.whenRunning();
    this.#otherEnd?.receive(message);
  }

  frames(): AsyncIterable<Result<Frame, FrameError>> {
    return this.#receivedFrames;
  }

  close(): void {
    const { timer, delayMs } = this.#options;
    timer.after(delayMs, () => {
      this.break();
    });
  }

  terminate(): void {
    this.#closeThisEnd();
    const { timer, delayMs } = this.#options;
    timer.after(delayMs, () => {
      if (!this.#isSilent) this.#otherEnd?.break();
    });
  }

  /** Closes both ends without delay. */
  break(): void {
    if (!this.#isOpen) return;
    this.#closeThisEnd();
    this.#otherEnd?.break();
  }

  receive(message: Buffer): void {
    if (!this.#isOpen) return;
    this.receivedBytes += message.length;
    const decoded = decodeFrames(message);
    if (decoded.isErr()) this.#receivedFrames.push(err(decoded.error));
    else for (const frame of decoded.value) this.#receivedFrames.push(ok(frame));
  }

  #closeThisEnd(): void {
    this.#isOpen = false;
    this.#receivedFrames.discard();
    this.#options.onClose();
  }
}

function makePathKey(first: string, second: string): string {
  return first < second ? `${first} ${second}` : `${second} ${first}`;
}
