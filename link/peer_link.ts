import { err, ok, type Result } from 'neverthrow';
import {
  Deadline,
  FailureKind,
  ReceiverRole,
  RefusalReason,
  Repeatability,
  BufferedBody,
  isFinalStatus,
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
import { withTimeout, type Subscription, type TimerService } from '../timer/mod.ts';
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
  type AnswerFrame,
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
/** Lower than any version, so that the owner of a key resolves the call again under its own. */
const UNRESOLVED_VERSION = 0;
const KEEPALIVE_PERIOD_MS = 5_000;
/** Time without a received frame after which a link is terminated, in milliseconds. */
const SILENCE_LIMIT_MS = 15_000;

/** How a peer resolved the call of an attempt. */
export interface PeerRouteQuery {
  rules: RoutingRules;
  receiverRole: ReceiverRole;
  /** Milliseconds until the call's deadline. */
  leftMs: number;
}

/** Services that a daemon provides to its links. */
export interface LinkServices {
  timer: TimerService;
  log: EventLog;
  /** Executes attempts at this daemon's target. */
  guard: AttemptPort;
  /** Runs a call whose key this daemon owns. */
  runOwnedCall: (call: Call) => Promise<Result<Answer, Refusal>>;
  /**
   * Finds the route of a peer's attempt in the version in force.
   *
   * @param query How the peer resolved the call.
   * @returns The route to execute the attempt under, or why this daemon refuses it.
   */
  findRoute: (query: PeerRouteQuery) => Result<Route, Refusal>;
  /**
   * Waits for the version that a peer resolved the call under, if that is newer than the one in
   * force, and finds the route again.
   *
   * @param query How the peer resolved the call.
   * @returns The route or a refusal, under the version in force after the wait.
   */
  findRouteAfterCatchUp: (query: PeerRouteQuery) => Promise<Result<Route, Refusal>>;
  /** @returns Version of the configuration in force. */
  getVersion: () => number;
  /** Called with each frame that concerns no attempt. */
  onControlFrame: (link: PeerLink, frame: Frame) => void;
  /** Called with the version of the configuration that a peer's frame names. */
  onPeerVersion: (link: PeerLink, version: number) => void;
}

/** Options of {@linkcode PeerLink}. */
export interface PeerLinkOptions {
  channel: FrameChannel;
  /** The peer's hello frame. */
  peer: HelloFrame;
  /** Whether this daemon opened the link. */
  isDialer: boolean;
  services: LinkServices;
}

interface SentExchange {
  exchange: Exchange;
  resolve: (result: AttemptResult) => void;
}

/** A link to the daemon of another instance; carries attempts in both directions. */
export class PeerLink implements PeerPort {
  readonly peer: HelloFrame;
  readonly #channel: FrameChannel;
  readonly #services: LinkServices;
  readonly #sentExchanges = new Map<number, SentExchange>();
  readonly #receivedExchanges = new Map<number, Exchange>();
  readonly #keepalive: Subscription;
  readonly #stallDetector: StallDetector;
  #nextStream: number;
  #lastReceivedMs: number;
  #lastSentMs: number;
  #isOpen = true;
  /** Called with the next received frame. */
  readonly #onReceived = new Set<() => void>();

  /** @param options See {@linkcode PeerLinkOptions}. */
  constructor(options: PeerLinkOptions) {
    this.peer = options.peer;
    this.#channel = options.channel;
    this.#services = options.services;
    this.#nextStream = options.isDialer ? 1 : 2;
    this.#lastReceivedMs = options.services.timer.now();
    this.#lastSentMs = this.#lastReceivedMs;
    this.#stallDetector = new StallDetector(options.services.timer, {
      isWaiting: () => this.#sentExchanges.size > 0,
      ping: () => {
        this.sendFrame({ kind: FrameKind.Ping });
      },
      onStalled: () => {
        this.#terminateStalled();
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

  /** @returns Number of attempts in flight, in both directions. */
  get inFlight(): number {
    return this.#sentExchanges.size + this.#receivedExchanges.size;
  }

  /** @returns Encoded bytes sent and received since the link was opened. */
  get bytes(): { sent: number; received: number } {
    return { sent: this.#channel.sentBytes, received: this.#channel.receivedBytes };
  }

  /** Handles the peer's frames in order until the link ends. */
  async run(): Promise<void> {
    for await (const received of this.#channel.frames()) {
      if (received.isErr()) {
        const { detail } = received.error;
        this.#services.log.write(Event.LinkRejected, { peer: this.peer.instanceId, detail });
        break;
      }
      this.#lastReceivedMs = this.#services.timer.now();
      this.#stallDetector.recordReceived();
      for (const notify of this.#onReceived) notify();
      this.#handleFrame(received.value);
    }
    this.terminate();
  }

  async send(attempt: Attempt): Promise<AttemptResult> {
    if (!this.#isOpen) return err(makeNotSentFailure());
    const { call } = attempt;
    const { exchange, result } = this.#beginExchange();
    this.sendFrame(toCallFrame(attempt, exchange.stream));
    if (!(call.body instanceof BufferedBody)) void this.#sendBody(exchange, call.body);
    const cancel = () => {
      this.#cancel(exchange, call.route);
    };
    call.signal.addEventListener('abort', cancel);
    if (call.signal.aborted) cancel();
    const attemptResult = await result;
    const isStreaming = attemptResult.isOk() && !(attemptResult.value.body instanceof BufferedBody);
    if (!isStreaming) call.signal.removeEventListener('abort', cancel);
    return attemptResult;
  }

  async settle(id: AttemptId, deadline: Deadline): Promise<AttemptResult> {
    if (!this.#isOpen) return err(makeLostFailure('the link has ended'));
    const { exchange, result } = this.#beginExchange();
    const { stream } = exchange;
    const { leftMs } = deadline;
    this.sendFrame({ kind: FrameKind.Settle, stream, sequence: id.sequence, leftMs });
    return result;
  }

  /**
   * Checks that the peer still answers if nothing was received for a while. Terminates the link
   * otherwise.
   *
   * @param maxSilenceMs Time without a received frame after which the peer is pinged, in milliseconds.
   * @param timeoutMs Time for which the peer's answer is awaited, in milliseconds; the same by default.
   * @returns Whether the link is open and the peer answers.
   */
  async verify(maxSilenceMs: number, timeoutMs = maxSilenceMs): Promise<boolean> {
    const { timer } = this.#services;
    if (timer.now() - this.#lastReceivedMs < maxSilenceMs) return this.#isOpen;
    this.sendFrame({ kind: FrameKind.Ping });
    let notify: () => void = () => undefined;
    const answered = new Promise<true>((resolve) => {
      notify = () => {
        resolve(true);
      };
    });
    this.#onReceived.add(notify);
    const isAnswered = await withTimeout(timer, timeoutMs, answered);
    this.#onReceived.delete(notify);
    if (!isAnswered) this.#terminateStalled();
    return this.#isOpen;
  }

  /**
   * Sends a frame to the peer.
   *
   * @param frame The frame to send.
   */
  sendFrame(frame: Frame): void {
    this.#lastSentMs = this.#services.timer.now();
    this.#channel.send(frame);
  }

  /** Closes the link after flushing the frames sent before. */
  close(): void {
    this.#channel.close();
  }

  /** Terminates the link; attempts in flight count as lost. */
  terminate(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#keepalive.cancel();
    this.#stallDetector.close();
    this.#channel.terminate();
    for (const { exchange, resolve } of this.#sentExchanges.values()) {
      exchange.terminate('the link ended');
      resolve(err(makeLostFailure('the link ended before the answer')));
    }
    for (const exchange of this.#receivedExchanges.values()) exchange.terminate('the link ended');
    this.#sentExchanges.clear();
    this.#receivedExchanges.clear();
  }

  #terminateStalled(): void {
    if (!this.#isOpen) return;
    const { instanceId } = this.peer;
    this.#services.log.write(Event.LinkStalled, {
      peer: instanceId,
      pending: this.#sentExchanges.size,
    });
    this.terminate();
  }

  #beginExchange(): { exchange: Exchange; result: Promise<AttemptResult> } {
    const exchange = new Exchange(this.#nextStream);
    this.#nextStream += 2;
    this.#stallDetector.start();
    const result = new Promise<AttemptResult>((resolve) => {
      this.#sentExchanges.set(exchange.stream, { exchange, resolve });
    });
    return { exchange, result };
  }

  #handleFrame(frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Call:
        this.#services.onPeerVersion(this, frame.version);
        void this.#serveCall(frame);
        break;
      case FrameKind.Settle:
        void this.#serveSettle(frame);
        break;
      case FrameKind.Answer:
        this.#receiveAnswer(frame);
        break;
      case FrameKind.Failure:
        this.#services.onPeerVersion(this, frame.version);
        this.#resolveExchange(frame.stream, err(fromFailureFrame(frame)), false);
        break;
      case FrameKind.Data:
        if (this.#findExchange(frame.stream)?.incoming?.push(frame.bytes) === false)
          this.terminate();
        break;
      case FrameKind.End:
        this.#findExchange(frame.stream)?.incoming?.end(frame.cut);
        if (this.#isLocalStream(frame.stream)) this.#finishExchange(frame.stream);
        break;
      case FrameKind.Credit:
        this.#findExchange(frame.stream)?.window.grant(frame.bytes);
        break;
      case FrameKind.Cancel:
        this.#findExchange(frame.stream)?.terminate('the other side gave up');
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

  #receiveAnswer(frame: AnswerFrame): void {
    this.#services.onPeerVersion(this, frame.version);
    const { stream, status, body } = frame;
    if (!isFinalStatus(status)) {
      // A daemon of the build before passes on any status that its target sends.
      if (!body) this.sendFrame({ kind: FrameKind.Cancel, stream });
      this.#resolveExchange(stream, err(makeMalformedFailure(status)), false);
      return;
    }
    const incoming = body
      ? undefined
      : this.#receiveBody(this.#sentExchanges.get(stream)?.exchange);
    const answer = fromAnswerFrame(frame, incoming);
    this.#resolveExchange(stream, ok(answer), incoming !== undefined);
  }

  #isLocalStream(stream: number): boolean {
    return stream % 2 === this.#nextStream % 2;
  }

  #findExchange(stream: number): Exchange | undefined {
    return this.#isLocalStream(stream)
      ? this.#sentExchanges.get(stream)?.exchange
      : this.#receivedExchanges.get(stream);
  }

  /** Delivers a result to the exchange with this stream number; ignores an unknown number. */
  #resolveExchange(stream: number, result: AttemptResult, isStreaming: boolean): void {
    const pending = this.#sentExchanges.get(stream);
    if (!pending) return;
    pending.resolve(result);
    if (!isStreaming) this.#finishExchange(stream);
  }

  #finishExchange(stream: number): void {
    this.#sentExchanges.get(stream)?.exchange.window.close();
    this.#sentExchanges.delete(stream);
  }

  #receiveBody(exchange: Exchange | undefined): StreamBody | undefined {
    if (!exchange) return undefined;
    const { stream } = exchange;
    exchange.incoming = new StreamBody({
      onRead: (bytes) => {
        this.sendFrame({ kind: FrameKind.Credit, stream, bytes });
      },
      onCancel: () => {
        this.sendFrame({ kind: FrameKind.Cancel, stream });
        if (this.#isLocalStream(stream)) this.#finishExchange(stream);
      },
    });
    return exchange.incoming;
  }

  /** Cancels an attempt at its executor. */
  #cancel(exchange: Exchange, route: Route): void {
    const { stream } = exchange;
    const pending = this.#sentExchanges.get(stream);
    if (!pending) return;
    this.sendFrame({ kind: FrameKind.Cancel, stream });
    // A call that runs at most once continues if it has started; its executor sends the result.
    if (runsAtMostOnce(route)) return;
    this.#sentExchanges.delete(stream);
    exchange.terminate('the caller left');
    pending.resolve(err(makeLostFailure('the caller left before the answer')));
  }

  async #serveCall(frame: CallFrame): Promise<void> {
    const exchange = new Exchange(frame.stream);
    this.#receivedExchanges.set(frame.stream, exchange);
    const incoming = frame.body ? undefined : this.#receiveBody(exchange);
    const { timer } = this.#services;
    const { signal } = exchange;
    const cancel = () => {
      exchange.cancel();
    };
    const receivedMs = timer.now();
    const { leg, leftMs } = frame;
    const query: PeerRouteQuery = { rules: toRoutingRules(frame), receiverRole: leg, leftMs };
    let route = this.#services.findRoute(query);
    if (route.isErr()) route = await this.#services.findRouteAfterCatchUp(query);
    if (route.isErr()) {
      this.#logRefusal(frame, route.error);
      this.#sendResultFrame(exchange, await this.#fenceAndRefuse(frame, route.error));
      incoming?.end('the attempt was refused');
      return;
    }
    const waitedMs = timer.now() - receivedMs;
    const version = leg === ReceiverRole.Owner ? UNRESOLVED_VERSION : frame.version;
    const options = { timer, route: route.value, version, waitedMs, incoming, signal, cancel };
    const attempt = fromCallFrame(frame, this.peer.incarnation, options);
    await this.#sendResult(exchange, await executeAttempt(attempt, this.#services));
    incoming?.end('the attempt has ended');
  }

  /**
   * Turns a refusal into the result of an attempt. If the call runs at most once, fences the attempt
   * first, since a copy of it may be running or may arrive later.
   */
  async #fenceAndRefuse(frame: CallFrame, refusal: Refusal): Promise<AttemptResult> {
    const refused = err(toAttemptFailure(refusal));
    if (frame.leg !== ReceiverRole.Guard || !frame.runsAtMostOnce) return refused;
    const id: AttemptId = { sender: this.peer.incarnation, sequence: frame.sequence };
    const deadline = new Deadline(this.#services.timer, 0);
    const settled = await this.#services.guard.settle(id, deadline);
    const isFenced = settled.isErr() && isNotRun(settled.error.kind);
    return isFenced ? refused : settled;
  }

  #logRefusal({ callId, sequence, version }: CallFrame, { reason }: Refusal): void {
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
    this.#receivedExchanges.set(frame.stream, exchange);
    const id: AttemptId = { sender: this.peer.incarnation, sequence: frame.sequence };
    const deadline = new Deadline(this.#services.timer, frame.leftMs);
    await this.#sendResult(exchange, await this.#services.guard.settle(id, deadline));
  }

  async #sendResult(exchange: Exchange, result: AttemptResult): Promise<void> {
    this.#sendResultFrame(exchange, result);
    if (result.isErr() || result.value.body instanceof BufferedBody) return;
    this.#receivedExchanges.set(exchange.stream, exchange);
    await this.#sendBody(exchange, result.value.body);
    this.#receivedExchanges.delete(exchange.stream);
  }

  #sendResultFrame({ stream }: Exchange, result: AttemptResult): void {
    this.#receivedExchanges.delete(stream);
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
      for (const bytes of splitBytes(chunk.value)) {
        if (!(await window.acquire(bytes.length))) return;
        this.sendFrame({ kind: FrameKind.Data, stream, bytes });
      }
    }
    this.sendFrame({ kind: FrameKind.End, stream, cut: null });
  }

  #checkSilence(): void {
    const nowMs = this.#services.timer.now();
    if (nowMs - this.#lastReceivedMs > SILENCE_LIMIT_MS) {
      this.#terminateStalled();
      return;
    }
    if (nowMs - this.#lastSentMs >= KEEPALIVE_PERIOD_MS) this.sendFrame({ kind: FrameKind.Ping });
  }
}

function* splitBytes(bytes: Uint8Array): Generator<Uint8Array> {
  for (let start = 0; start < bytes.length; start += MAX_DATA_BYTES) {
    yield bytes.subarray(start, start + MAX_DATA_BYTES);
  }
}

function toRoutingRules(frame: CallFrame): RoutingRules {
  const { workspace, route, pool, version } = frame;
  return { workspace, route, pool, repeatability: toRepeatability(frame), version };
}

/** A call that runs at most once has a key, unless its caller sent none. */
function toRepeatability({ runsAtMostOnce, key }: CallFrame): Repeatability {
  if (!runsAtMostOnce) return Repeatability.Idempotent;
  return key === null ? Repeatability.Keyless : Repeatability.NonIdempotent;
}

function makeNotSentFailure(): AttemptFailure {
  const refusal = makeNotRunRefusal(
    RefusalReason.TargetDown,
    'the link had ended before the attempt was sent',
  );
  return { kind: FailureKind.NotSent, refusal, load: undefined };
}

function makeLostFailure(detail: string): AttemptFailure {
  const refusal = makeUnknownRefusal(RefusalReason.AnswerLost, detail);
  return { kind: FailureKind.Lost, refusal, load: undefined };
}

function makeMalformedFailure(status: number): AttemptFailure {
  const detail = `the peer passed on status ${status}, which is not final`;
  const refusal = makeUnknownRefusal(RefusalReason.AnswerLost, detail);
  return { kind: FailureKind.Unknown, refusal, load: undefined };
}
