import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import {
  CollectFailure,
  Deadline,
  IDENTIFYING_BYTES,
  Outcome,
  RecordedBody,
  RefusalReason,
  ReplayableBody,
  bufferIfSmall,
  Repeatability,
  BufferedBody,
  collectBody,
  limitBody,
  makeNotRunRefusal,
  parseDeadlineMs,
  runsAtMostOnce,
  makeUnknownRefusal,
  watchBody,
  type Answer,
  type Body,
  type Call,
  type Headers,
  type Refusal,
  type Route,
} from '../contract/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { Quarantine } from '../guard/mod.ts';
import type { KeyOwner } from '../idempotency/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import { pathOf, type CallRouter, type ResolvedRoute } from './call_router.ts';
import type { Dispatcher } from './dispatcher.ts';
import type { KeyRelay } from './key_relay.ts';
import { withRetryAfter } from './retry_after.ts';

/** Depth in a chain of calls from which a call is refused. */
const MAX_DEPTH = 32;
/** Size up to which a body is buffered before the first attempt, in bytes. */
const SMALL_BODY_BYTES = IDENTIFYING_BYTES;
/** Timeout of a call without a deadline while its route is not known, in milliseconds. */
const UNROUTED_TIMEOUT_MS = 1_000;
/** Maximum length of a refusal's detail in a log line; the detail may contain the caller's path. */
const MAX_DETAIL_CHARACTERS = 200;

/** A call as received, before it is checked and resolved. */
export interface CallerRequest {
  /** Identifier of the call, if the caller sent one. */
  callId: string | undefined;
  workspace: string | undefined;
  host: string;
  method: string;
  /** Path and query. */
  pathAndQuery: string;
  headers: Headers;
  /** Length of the body in bytes, if the caller stated it. */
  contentLength: number | undefined;
  /** Not read before the call is admitted. */
  body: Body;
  deadline: string | undefined;
  depth: string | undefined;
  key: string | undefined;
  /** Aborted when the caller no longer waits for the answer. */
  signal: AbortSignal;
  /** Aborts the signal. */
  cancel: () => void;
}

/** Result of a call, for its caller. */
export interface CallerReply {
  callId: string;
  result: Result<Answer, Refusal>;
  /** A new key for the caller's next call of this route. */
  nextKey: string | undefined;
}

/** Options of {@linkcode Entry}. */
export interface EntryOptions {
  timer: TimerService;
  log: EventLog;
  dispatcher: Dispatcher;
  quarantine: Quarantine;
  owner: KeyOwner;
  relay: KeyRelay;
  /** Pool of the daemon's own instance. */
  pool: string;
  router: CallRouter;
  /** @returns Version of the configuration in force. */
  getVersion: () => number;
  /** @returns Time until this daemon ends its open calls, in milliseconds; infinite unless it stops. */
  getTimeLeftMs: () => number;
  /** @returns A refusal if the daemon accepts no calls now. */
  checkAdmission: () => Refusal | undefined;
}

/** Accepts calls from callers and is responsible for their outcomes until they complete. */
export class Entry {
  readonly #options: EntryOptions;
  #openCalls = 0;
  /** Each ends one of the calls that are being executed. */
  readonly #endCall = new Set<(result: Result<Answer, Refusal>) => void>();

  /** @param options See {@linkcode EntryOptions}. */
  constructor(options: EntryOptions) {
    this.#options = options;
  }

  /** @returns Number of calls that have not completed. */
  get openCalls(): number {
    return this.#openCalls;
  }

  /**
   * Serves one call.
   *
   * @param req The call as received.
   * @returns Its answer, or a refusal whose outcome states whether the call may have run.
   */
  async serve(req: CallerRequest): Promise<CallerReply> {
    this.#openCalls += 1;
    const callId = req.callId ?? randomUUID();
    const startMs = this.#options.timer.now();
    let admitted = this.#admit(req, callId, startMs);
    if (admitted.isErr() && admitted.error.reason === RefusalReason.VersionsDiffer) {
      await this.#options.router.waitForNewestVersion(getWaitMs(req));
      admitted = this.#admit(req, callId, startMs);
    }
    const result = admitted.isErr()
      ? err<Answer, Refusal>(markUnknownIfKeyed(admitted.error, req.key))
      : await this.#executeUntilEnd(admitted.value, req);
    this.#openCalls -= 1;
    if (admitted.isErr()) this.#logNotAdmitted(callId, admitted.error);
    this.#logCompletion(callId, result, startMs);
    const nextKey = this.#chooseNextKey(admitted, result);
    return { callId, result: result.mapErr(withRetryAfter), nextKey };
  }

  /** Ends the open calls with a refusal, since the daemon stops. Their outcome is unknown. */
  endOpenCalls(): void {
    const detail = 'the daemon stopped before the answer';
    const refusal = makeUnknownRefusal(RefusalReason.AnswerLost, detail);
    for (const end of this.#endCall) end(err(refusal));
  }

  /**
   * Executes a call under a key that this daemon owns, or waits for the execution that an earlier
   * call under the key started.
   *
   * @param call The call; its body must be buffered.
   * @returns Its answer, or a refusal.
   */
  runOwnedCall(call: Call): Promise<Result<Answer, Refusal>> {
    return this.#options.owner.run(call, (owned) => this.#dispatchOwned(owned));
  }

  #admit(req: CallerRequest, id: string, startMs: number): Result<Call, Refusal> {
    const refusal = this.#options.checkAdmission();
    if (refusal) return err(refusal);
    const { workspace, host, method } = req;
    return this.#options.router
      .find({ workspace, host, method, path: pathOf(req.pathAndQuery) })
      .andThen((resolved) => this.#checkTimeLeft(resolved))
      .andThen((resolved) => checkBodySize(resolved, req))
      .andThen((resolved) => this.#makeCall(resolved, req, { id, startMs }))
      .mapErr((refusal) => this.#options.router.replaceIfOutdated(refusal));
  }

  /** Refuses a call that would probably not complete before this daemon stops. */
  #checkTimeLeft(resolved: ResolvedRoute): Result<ResolvedRoute, Refusal> {
    const { objectiveMs } = resolved.route;
    const timeLeftMs = this.#options.getTimeLeftMs();
    if (objectiveMs <= timeLeftMs) return ok(resolved);
    const detail = `the daemon stops in ${Math.round(timeLeftMs)} ms, the call may take ${objectiveMs} ms`;
    return err(makeNotRunRefusal(RefusalReason.Leaving, detail));
  }

  #makeCall(
    { route, pool, version }: ResolvedRoute,
    req: CallerRequest,
    { id, startMs }: { id: string; startMs: number },
  ): Result<Call, Refusal> {
    const { method, pathAndQuery, headers, body, key, signal, cancel } = req;
    const { timer } = this.#options;
    return parseDeadlineMs(req.deadline, route.timeoutMs).andThen((givenMs) =>
      parseDepth(req.depth).map((depth) => {
        const leftMs = Math.min(givenMs - (timer.now() - startMs), this.#options.getTimeLeftMs());
        return {
          id,
          route,
          pool,
          version,
          callerPool: this.#options.pool,
          method,
          pathAndQuery,
          headers,
          body,
          deadline: new Deadline(timer, leftMs),
          objective: new Deadline(timer, Math.min(leftMs, route.objectiveMs)),
          depth,
          key,
          signal,
          cancel,
        };
      }),
    );
  }

  #executeUntilEnd(call: Call, req: CallerRequest): Promise<Result<Answer, Refusal>> {
    return new Promise((resolve, reject) => {
      this.#endCall.add(resolve);
      void this.#execute(call, req)
        .then(resolve, reject)
        .finally(() => this.#endCall.delete(resolve));
    });
  }

  async #execute(call: Call, req: CallerRequest): Promise<Result<Answer, Refusal>> {
    if (call.route.repeatability === Repeatability.NonIdempotent) return this.#executeKeyed(call);
    const isSmall = req.contentLength !== undefined && req.contentLength <= SMALL_BODY_BYTES;
    if (!isSmall) return this.#executeStreamed(call);
    const limit = Math.min(call.route.bodyLimitBytes, SMALL_BODY_BYTES);
    const body = await collectBody(call.body, limit);
    if (body.isErr()) return err(makeBodyRefusal(body.error, call.route));
    return this.#dispatchUntilDeadline({ ...call, body: body.value });
  }

  async #executeStreamed(call: Call): Promise<Result<Answer, Refusal>> {
    const { route } = call;
    const limit = { isExceeded: false };
    const onExceeded = () => {
      limit.isExceeded = true;
    };
    const recorded = new RecordedBody(limitBody(call.body, route.bodyLimitBytes, { onExceeded }));
    // Whether a call is quarantined can only be told before it is sent if its body's start is known.
    const isStartNeeded = route.quarantine && this.#options.quarantine.hasSuspects;
    const started = isStartNeeded ? await bufferIfSmall(recorded, SMALL_BODY_BYTES) : recorded;
    const isBuffered = started instanceof BufferedBody;
    const body = isBuffered ? started : new ReplayableBody(started, recorded);
    const result = await this.#dispatchUntilDeadline({ ...call, body });
    if (result.isOk()) return result;
    if (body instanceof ReplayableBody) await body.cancel();
    const tooLarge = makeBodyRefusal(CollectFailure.TooLarge, route);
    // The target received the start of the body, so the call may have run.
    return err(
      limit.isExceeded ? makeUnknownRefusal(tooLarge.reason, tooLarge.detail) : result.error,
    );
  }

  async #executeKeyed(call: Call): Promise<Result<Answer, Refusal>> {
    if (call.key === undefined) return err(this.#makeKeyRequiredRefusal(call.route));
    const body = await collectBody(call.body, call.route.bodyLimitBytes);
    if (body.isErr())
      return err(markUnknownIfKeyed(makeBodyRefusal(body.error, call.route), call.key));
    const buffered = { ...call, body: body.value };
    return this.#options.relay.run(buffered, () => this.runOwnedCall(buffered));
  }

  #makeKeyRequiredRefusal(route: Route): Refusal {
    const nextKey = this.#options.owner.issue(route);
    if (nextKey === undefined) {
      const detail = 'this daemon takes on no further keys, use another one';
      const addresses = this.#options.router.addressesFor(route);
      return { ...makeNotRunRefusal(RefusalReason.DomainOut, detail), addresses };
    }
    const detail = `route "${route.name}" is not idempotent, got no Idempotency-Key`;
    return { ...makeNotRunRefusal(RefusalReason.KeyRequired, detail), nextKey };
  }

  #dispatchOwned(call: Call): Promise<Result<Answer, Refusal>> {
    return this.#dispatchUntilDeadline(call);
  }

  async #dispatchUntilDeadline(call: Call): Promise<Result<Answer, Refusal>> {
    const expiry = !runsAtMostOnce(call.route)
      ? this.#options.timer.after(call.deadline.leftMs, call.cancel)
      : undefined;
    const result = await this.#options.dispatcher.dispatch(call);
    const cancelExpiry = () => {
      expiry?.cancel();
    };
    if (result.isOk())
      return ok({ ...result.value, body: watchBody(result.value.body, cancelExpiry) });
    cancelExpiry();
    return call.deadline.hasPassed ? err(makeDeadlineRefusal(result.error)) : result;
  }

  #chooseNextKey(
    admitted: Result<Call, Refusal>,
    result: Result<Answer, Refusal>,
  ): string | undefined {
    if (admitted.isErr()) return undefined;
    const { route } = admitted.value;
    if (route.repeatability !== Repeatability.NonIdempotent) return undefined;
    const refusalKey = result.isErr() ? result.error.nextKey : undefined;
    return refusalKey ?? this.#options.owner.issue(route);
  }

  #logNotAdmitted(call: string, { reason, detail }: Refusal): void {
    this.#options.log.write(Event.CallNotAdmitted, {
      call,
      reason,
      detail: detail.slice(0, MAX_DETAIL_CHARACTERS),
      version: this.#options.getVersion(),
    });
  }

  #logCompletion(call: string, result: Result<Answer, Refusal>, startMs: number): void {
    const elapsedMs = Math.round((this.#options.timer.now() - startMs) * 100) / 100;
    const completion = result.isOk()
      ? { outcome: Outcome.Answered, status: result.value.status }
      : { outcome: result.error.outcome, reason: result.error.reason };
    this.#options.log.write(Event.CallAnswered, { call, ...completion, elapsedMs });
  }
}

/** Marks the outcome as unknown: only the owner of a key knows whether a call under it has run. */
function markUnknownIfKeyed(refusal: Refusal, key: string | undefined): Refusal {
  return key === undefined ? refusal : { ...refusal, outcome: Outcome.Unknown };
}

/** Returns the time until the deadline of a call whose route is not known, in milliseconds. */
function getWaitMs({ deadline }: CallerRequest): number {
  return parseDeadlineMs(deadline, UNROUTED_TIMEOUT_MS).unwrapOr(0);
}

function checkBodySize(
  resolved: ResolvedRoute,
  req: CallerRequest,
): Result<ResolvedRoute, Refusal> {
  const { route } = resolved;
  const size = req.contentLength;
  if (size === undefined || size <= route.bodyLimitBytes) return ok(resolved);
  const detail = `expected a body of at most ${route.bodyLimitBytes} bytes, got ${size}`;
  return err(makeNotRunRefusal(RefusalReason.BodyTooLarge, detail));
}

function makeBodyRefusal(failure: CollectFailure, route: Route): Refusal {
  if (failure === CollectFailure.Truncated)
    return makeNotRunRefusal(RefusalReason.BodyCut, 'the body was cut off');
  const detail = `expected a body of at most ${route.bodyLimitBytes} bytes, got more`;
  return makeNotRunRefusal(RefusalReason.BodyTooLarge, detail);
}

function makeDeadlineRefusal(refusal: Refusal): Refusal {
  if (refusal.outcome === Outcome.NotRun) {
    return { ...refusal, reason: RefusalReason.DeadlinePassed };
  }
  return makeUnknownRefusal(RefusalReason.DeadlinePassed, refusal.detail);
}

function parseDepth(text: string | undefined): Result<number, Refusal> {
  if (text === undefined) return ok(0);
  const depth = Number(text);
  if (Number.isInteger(depth) && depth >= 0 && depth < MAX_DEPTH) return ok(depth);
  const detail = `expected a depth below ${MAX_DEPTH}, got "${text.slice(0, 40)}"`;
  return err(makeNotRunRefusal(RefusalReason.TooDeep, detail));
}
