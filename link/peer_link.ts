import { err, ok, type Result } from 'neverthrow';
import {
  Deadline,
  FailureKind,
  ReceiverRole,
  RefusalReason,
  Repeatability,
  BufferedBody,
  isNotRun,
  makeNotRunRefusal,
  runsAtMostOnce,
  makeUnknownRefusal,
  type Answer,
  type Attempt,
  type AttemptFailure,
  type AttemptId,
  type AttemptPort,
  type AttemptResult,
  type Body,
  type Call,
  type RoutingRules,
  type Refusal,
  type Route,
} from '../contract/mod.ts';
import type { PeerPort } from '../entry/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { Subscription, TimerService } from '../timer/mod.ts';
import {
  fromAnswerFrame,
  fromCallFrame,
  fromFailureFrame,
  toAnswerFrame,
  toCallFrame,
  toFailureFrame,
} from './call_frames.ts';
import { Exchange } from './exchange.ts';
import { executeAttempt, toAttemptFailure } from './execute_attempt.ts';
import {
  FrameKind,
  type CallFrame,
  type Frame,
  type HelloFrame,
  type SettleFrame,
} from './frame.ts';
import type { FrameChannel } from './frame_channel.ts';
import { StallDetector } from './stall_detector.ts';
import { StreamBody } from './stream_body.ts';

/** Largest part of a body in one frame, in bytes. */
const MAX_DATA_BYTES = 16_384;
/** Older than any version, so that a key's owner decides the call anew by its own. */
const UNDECIDED_VERSION = 0;
const KEEPALIVE_PERIOD_MS = 5_000;
/** Silence after which a link counts as broken, in milliseconds. */
const SILENCE_LIMIT_MS = 15_000;

/** What a peer's attempt was decided by. */
export interface PeerRouteQuery {
  rules: RoutingRules;
  receiverRole: ReceiverRole;
  /** Milliseconds until the call's deadline. */
  leftMs: number;
}

/** What a daemon does for its peers. */
export interface LinkServices {
  timer: TimerService;
  log: EventLog;
  /** Executes attempts at this daemon's target. */
  guard: AttemptPort;
  /** Runs a call under a key that this daemon owns. */
  runOwnedCall: (call: Call) => Promise<Result<Answer, Refusal>>;
  /**
   * @param attempt What a peer's attempt was decided by.
   * @returns The route to execute it by, or why this daemon does not by the rules in force.
   */
  findRoute: (attempt: PeerRouteQuery) => Result<Route, Refusal>;
  /**
   * Waits for the version that a peer's attempt was decided by, if that is newer than the one in force.
   *
   * @param attempt What the attempt was decided by.
   * @returns As above, by the rules in force afterwards.
   */
  findRouteAfterCatchUp: (attempt: PeerRouteQuery) => Promise<Result<Route, Refusal>>;
  /** @returns Version of the configuration in force. */
  getVersion: () => number;
  /** Takes a frame that concerns no attempt. */
  onControlFrame: (link: PeerLink, frame: Frame) => void;
  /** Notes the version of the configuration that a peer decides by. */
  onPeerVersion: (link: PeerLink, version: number) => void;
}

/** What a {@linkcode PeerLink} needs. */
export interface PeerLinkOptions {
  channel: FrameChannel;
  /** What the peer said about itself. */
  peer: HelloFrame;
  /** Whether this daemon opened the link. */
  isDialer: boolean;
  services: LinkServices;
}

interface Pending {
  exchange: Exchange;
  resolve: (result: AttemptResult) => void;
}

/** One link to the daemon of another instance; carries attempts both ways. */
export class PeerLink implements PeerPort {
  readonly peer: HelloFrame;
  readonly #channel: FrameChannel;
  readonly #services: LinkServices;
  readonly #sent = new Map<number, Pending>();
  readonly #received = new Map<number, Exchange>();
  readonly #keepalive: Subscription;
  readonly #stall: StallDetector;
  #nextStream: number;
  #lastHeardMs: number;
  #lastSentMs: number;
  #isOpen = true;

  /** @param options See {@linkcode PeerLinkOptions}. */
  constructor(options: PeerLinkOptions) {
    this.peer = options.peer;
    this.#channel = options.channel;
    this.#services = options.services;
    this.#nextStream = options.isDialer ? 1 : 2;
    this.#lastHeardMs = options.services.timer.now();
    this.#lastSentMs = this.#lastHeardMs;
    this.#stall = new StallDetector(options.services.timer, {
      isWaiting: () => this.#sent.size > 0,
      ping: () => {
        this.sendFrame({ kind: FrameKind.Ping });
      },
      onStalled: () => {
        const { instanceId } = this.peer;
        this.#services.log.write(Event.LinkStalled, { peer: instanceId, pending: this.#sent.size });
        this.terminate();
      },
    });
    this.#keepalive = options.services.timer.every(KEEPALIVE_PERIOD_MS, () => {
      this.#checkSilence();
    });
  }

  get incarnation(): string {
    return this.peer.incarnation;
  }

  /** @returns Whether the link can carry further attempts. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** @returns Attempts under way in either direction. */
  get inFlight(): number {
    return this.#sent.size + this.#received.size;
  }

  /** @returns Bytes sent and received since the start, as encoded. */
  get bytes(): { sent: number; received: number } {
    return { sent: this.#channel.sentBytes, received: this.#channel.receivedBytes };
  }

  /** Handles the peer's frames one after the other until the link ends. */
  async run(): Promise<void> {
    for await (const received of this.#channel.frames()) {
      if (received.isErr()) {
        const { detail } = received.error;
        this.#services.log.write(Event.LinkRejected, { peer: this.peer.instanceId, detail });
        break;
      }
      this.#lastHeardMs = this.#services.timer.now();
      this.#stall.recordReceived();
      this.#handle(received.value);
    }
    this.terminate();
  }

  async send(attempt: Attempt): Promise<AttemptResult> {
    if (!this.#isOpen) return err(neverSent());
    const { call } = attempt;
    const { exchange, result } = this.#begin();
    this.sendFrame(toCallFrame(attempt, exchange.stream));
    if (!(call.body instanceof BufferedBody)) void this.#sendBody(exchange, call.body);
    const cancel = () => {
      this.#cancel(exchange, call.route);
    };
    call.signal.addEventListener('abort', cancel);
    if (call.signal.aborted) cancel();
    const ended = await result;
    const isStreaming = ended.isOk() && !(ended.value.body instanceof BufferedBody);
    if (!isStreaming) call.signal.removeEventListener('abort', cancel);
    return ended;
  }

  async settle(id: AttemptId, deadline: Deadline): Promise<AttemptResult> {
    if (!this.#isOpen) return err(lostFailure('the link has ended'));
    const { exchange, result } = this.#begin();
    const { stream } = exchange;
    const { leftMs } = deadline;
    this.sendFrame({ kind: FrameKind.Settle, stream, sequence: id.sequence, leftMs });
    return result;
  }

  /** @param frame A frame to send. */
  sendFrame(frame: Frame): void {
    this.#lastSentMs = this.#services.timer.now();
    this.#channel.send(frame);
  }

  /** Ends the link once what was sent before is flushed. */
  close(): void {
    this.#channel.close();
  }

  /** Ends the link at once; attempts under way count as lost. */
  terminate(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#keepalive.cancel();
    this.#stall.close();
    this.#channel.terminate();
    for (const { exchange, resolve } of this.#sent.values()) {
      exchange.terminate('the link ended');
      resolve(err(lostFailure('the link ended before the answer')));
    }
    for (const exchange of this.#received.values()) exchange.terminate('the link ended');
    this.#sent.clear();
    this.#received.clear();
  }

  #begin(): { exchange: Exchange; result: Promise<AttemptResult> } {
    const exchange = new Exchange(this.#nextStream);
    this.#nextStream += 2;
    this.#stall.start();
    const result = new Promise<AttemptResult>((resolve) => {
      this.#sent.set(exchange.stream, { exchange, resolve });
    });
    return { exchange, result };
  }

  #handle(frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Call:
        this.#services.onPeerVersion(this, frame.version);
        void this.#serveCall(frame);
        break;
      case FrameKind.Settle:
        void this.#serveSettle(frame);
        break;
      case FrameKind.Answer: {
        this.#services.onPeerVersion(this, frame.version);
        const incoming = frame.body
          ? undefined
          : this.#receiveBody(this.#sent.get(frame.stream)?.exchange);
        this.#resolve(frame.stream, ok(fromAnswerFrame(frame, incoming)), incoming !== undefined);
        break;
      }
      case FrameKind.Failure:
        this.#services.onPeerVersion(this, frame.version);
        this.#resolve(frame.stream, err(fromFailureFrame(frame)), false);
        break;
      case FrameKind.Data:
        if (this.#exchange(frame.stream)?.incoming?.push(frame.bytes) === false) this.terminate();
        break;
      case FrameKind.End:
        this.#exchange(frame.stream)?.incoming?.end(frame.cut);
        if (this.#isOwnStream(frame.stream)) this.#finish(frame.stream);
        break;
      case FrameKind.Credit:
        this.#exchange(frame.stream)?.window.grant(frame.bytes);
        break;
      case FrameKind.Cancel:
        this.#exchange(frame.stream)?.terminate('the other side gave up');
        break;
      case FrameKind.Ping:
        this.sendFrame({ kind: FrameKind.Pong });
        break;
      case FrameKind.Pong:
        break;
      default:
        this.#services.onControlFrame(this, frame);
    }
  }

  #isOwnStream(stream: number): boolean {
    return stream % 2 === this.#nextStream % 2;
  }

  #exchange(stream: number): Exchange | undefined {
    return this.#isOwnStream(stream)
      ? this.#sent.get(stream)?.exchange
      : this.#received.get(stream);
  }

  /** Delivers the end of an attempt to the exchange that it names, and to no other. */
  #resolve(stream: number, result: AttemptResult, isStreaming: boolean): void {
    const pending = this.#sent.get(stream);
    if (!pending) return;
    pending.resolve(result);
    if (!isStreaming) this.#finish(stream);
  }

  #finish(stream: number): void {
    this.#sent.get(stream)?.exchange.window.close();
    this.#sent.delete(stream);
  }

  #receiveBody(exchange: Exchange | undefined): StreamBody | undefined {
    if (!exchange) return undefined;
    const { stream } = exchange;
    exchange.incoming = new StreamBody({
      onRead: (bytes) => {
        this.sendFrame({ kind: FrameKind.Credit, stream, bytes });
      },
      onAbandon: () => {
        this.sendFrame({ kind: FrameKind.Cancel, stream });
        if (this.#isOwnStream(stream)) this.#finish(stream);
      },
    });
    return exchange.incoming;
  }

  /** Tells the executor that the caller is gone. */
  #cancel(exchange: Exchange, route: Route): void {
    const { stream } = exchange;
    const pending = this.#sent.get(stream);
    if (!pending) return;
    this.sendFrame({ kind: FrameKind.Cancel, stream });
    // A call that runs at most once goes on if it runs already; its executor tells how it ended.
    if (runsAtMostOnce(route)) return;
    this.#sent.delete(stream);
    exchange.terminate('the caller left');
    pending.resolve(err(lostFailure('the caller left before the answer')));
  }

  async #serveCall(frame: CallFrame): Promise<void> {
    const exchange = new Exchange(frame.stream);
    this.#received.set(frame.stream, exchange);
    const incoming = frame.body ? undefined : this.#receiveBody(exchange);
    const { timer } = this.#services;
    const { signal } = exchange;
    const cancel = () => {
      exchange.cancel();
    };
    const arrivedMs = timer.now();
    const { leg, leftMs } = frame;
    const asked: PeerRouteQuery = { rules: rulesOf(frame), receiverRole: leg, leftMs };
    let found = this.#services.findRoute(asked);
    if (found.isErr()) found = await this.#services.findRouteAfterCatchUp(asked);
    if (found.isErr()) {
      this.#logRefused(frame, found.error);
      this.#sendEnd(exchange, await this.#refuseForGood(frame, found.error));
      incoming?.end('the attempt was refused');
      return;
    }
    const waitedMs = timer.now() - arrivedMs;
    const version = leg === ReceiverRole.Owner ? UNDECIDED_VERSION : frame.version;
    const options = { timer, route: found.value, version, waitedMs, incoming, signal, cancel };
    const attempt = fromCallFrame(frame, this.peer.incarnation, options);
    await this.#sendResult(exchange, await executeAttempt(attempt, this.#services));
    incoming?.end('the attempt has ended');
  }

  /** A copy of an attempt that runs at most once may be running, or may arrive later. */
  async #refuseForGood(frame: CallFrame, refusal: Refusal): Promise<AttemptResult> {
    const refused = err(toAttemptFailure(refusal));
    if (frame.leg !== ReceiverRole.Guard || !frame.runsAtMostOnce) return refused;
    const id: AttemptId = { sender: this.peer.incarnation, sequence: frame.sequence };
    const deadline = new Deadline(this.#services.timer, 0);
    const settled = await this.#services.guard.settle(id, deadline);
    const isFenced = settled.isErr() && isNotRun(settled.error.kind);
    return isFenced ? refused : settled;
  }

  #logRefused({ callId, sequence, version }: CallFrame, { reason }: Refusal): void {
    this.#services.log.write(Event.AttemptRefused, {
      call: callId,
      attempt: sequence,
      reason,
      version: this.#services.getVersion(),
      decidedAt: version,
    });
  }

  async #serveSettle(frame: SettleFrame): Promise<void> {
    const exchange = new Exchange(frame.stream);
    this.#received.set(frame.stream, exchange);
    const id: AttemptId = { sender: this.peer.incarnation, sequence: frame.sequence };
    const deadline = new Deadline(this.#services.timer, frame.leftMs);
    await this.#sendResult(exchange, await this.#services.guard.settle(id, deadline));
  }

  async #sendResult(exchange: Exchange, result: AttemptResult): Promise<void> {
    this.#sendEnd(exchange, result);
    if (result.isErr() || result.value.body instanceof BufferedBody) return;
    this.#received.set(exchange.stream, exchange);
    await this.#sendBody(exchange, result.value.body);
    this.#received.delete(exchange.stream);
  }

  #sendEnd({ stream }: Exchange, result: AttemptResult): void {
    this.#received.delete(stream);
    const version = this.#services.getVersion();
    const frame = result.isOk()
      ? toAnswerFrame(result.value, { stream, version })
      : toFailureFrame(result.error, { stream, version });
    this.sendFrame(frame);
  }

  async #sendBody(exchange: Exchange, body: Body): Promise<void> {
    const { stream, window } = exchange;
    for await (const chunk of body) {
      if (chunk.isErr()) {
        this.sendFrame({ kind: FrameKind.End, stream, cut: chunk.error.detail });
        return;
      }
      for (const bytes of split(chunk.value)) {
        if (!(await window.acquire(bytes.length))) return;
        this.sendFrame({ kind: FrameKind.Data, stream, bytes });
      }
    }
    this.sendFrame({ kind: FrameKind.End, stream, cut: null });
  }

  #checkSilence(): void {
    const nowMs = this.#services.timer.now();
    if (nowMs - this.#lastHeardMs > SILENCE_LIMIT_MS) {
      this.terminate();
      return;
    }
    if (nowMs - this.#lastSentMs >= KEEPALIVE_PERIOD_MS) this.sendFrame({ kind: FrameKind.Ping });
  }
}

function* split(bytes: Uint8Array): Generator<Uint8Array> {
  for (let start = 0; start < bytes.length; start += MAX_DATA_BYTES) {
    yield bytes.subarray(start, start + MAX_DATA_BYTES);
  }
}

function rulesOf(frame: CallFrame): RoutingRules {
  const { workspace, route, pool, version } = frame;
  return { workspace, route, pool, repeatability: repeatabilityOf(frame), version };
}

/** Only a call that runs at most once carries a key, unless its caller has none. */
function repeatabilityOf({ runsAtMostOnce, key }: CallFrame): Repeatability {
  if (!runsAtMostOnce) return Repeatability.Idempotent;
  return key === null ? Repeatability.Keyless : Repeatability.NonIdempotent;
}

function neverSent(): AttemptFailure {
  const refusal = makeNotRunRefusal(
    RefusalReason.TargetDown,
    'the link had ended before the attempt was sent',
  );
  return { kind: FailureKind.NotSent, refusal, load: undefined };
}

function lostFailure(detail: string): AttemptFailure {
  const refusal = makeUnknownRefusal(RefusalReason.AnswerLost, detail);
  return { kind: FailureKind.Lost, refusal, load: undefined };
}
