import { createHash, randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import {
  CollectFailure,
  Deadline,
  Outcome,
  RefusalReason,
  ReplayableBody,
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
import type { KeyOwner } from '../idempotency/mod.ts';
import type { TimerService } from '../timer/mod.ts';
import { pathOf, type CallRouter, type ResolvedRoute } from './call_router.ts';
import type { Dispatcher } from './dispatcher.ts';
import type { KeyRelay } from './key_relay.ts';
import { withRetryAfter } from './retry_after.ts';

/** Deepest chain of calls that is served. */
const MAX_DEPTH = 32;
/** Bodies up to this size are read into memory before the first attempt, in bytes. */
const SMALL_BODY_BYTES = 65_536;
/** Time that a caller without a deadline is taken to wait while its route is not known, in milliseconds. */
const UNROUTED_TIMEOUT_MS = 1_000;
/** Longest part of a refusal's detail in a log line, which may hold a caller's path. */
const MAX_DETAIL_CHARACTERS = 200;

/** A call as it arrives, before anything is known about it. */
export interface CallerRequest {
  /** Identifier that the caller gave the call, if it did. */
  callId: string | undefined;
  workspace: string | undefined;
  host: string;
  method: string;
  /** Path and query. */
  pathAndQuery: string;
  headers: Headers;
  /** Size that the caller announced, in bytes, if it did. */
  announcedBytes: number | undefined;
  /** Not read before the call is known to be permitted here. */
  body: Body;
  deadline: string | undefined;
  depth: string | undefined;
  key: string | undefined;
  /** Aborted when nobody waits for the answer any more. */
  signal: AbortSignal;
  /** Aborts the signal. */
  cancel: () => void;
}

/** The end of a call, for its caller. */
export interface CallerReply {
  callId: string;
  result: Result<Answer, Refusal>;
  /** A fresh key for the caller's next call of this route. */
  nextKey: string | undefined;
}

/** What an {@linkcode Entry} needs. */
export interface EntryOptions {
  timer: TimerService;
  log: EventLog;
  dispatcher: Dispatcher;
  owner: KeyOwner;
  relay: KeyRelay;
  /** Pool of the daemon's own instance. */
  pool: string;
  router: CallRouter;
  /** @returns Version of the configuration in force. */
  getVersion: () => number;
  /** @returns Why the daemon accepts no calls now, if so. */
  checkAdmission: () => Refusal | undefined;
}

/** Takes calls from callers and owns their outcomes until they are answered. */
export class Entry {
  readonly #options: EntryOptions;
  #open = 0;

  /** @param options See {@linkcode EntryOptions}. */
  constructor(options: EntryOptions) {
    this.#options = options;
  }

  /** @returns Calls that have no answer yet. */
  get openCalls(): number {
    return this.#open;
  }

  /**
   * Serves one call.
   *
   * @param req The call as it arrived.
   * @returns Its answer, or a refusal that says whether it may have run.
   */
  async serve(req: CallerRequest): Promise<CallerReply> {
    this.#open += 1;
    const callId = req.callId ?? randomUUID();
    const startMs = this.#options.timer.now();
    let admitted = this.#admit(req, callId, startMs);
    if (admitted.isErr() && admitted.error.reason === RefusalReason.VersionsDiffer) {
      await this.#options.router.waitForNewestVersion(waitOf(req));
      admitted = this.#admit(req, callId, startMs);
    }
    const result = admitted.isErr()
      ? err<Answer, Refusal>(withoutProof(admitted.error, req.key))
      : await this.#execute(admitted.value, req);
    this.#open -= 1;
    if (admitted.isErr()) this.#logNotAdmitted(callId, admitted.error);
    this.#logEnd(callId, result, startMs);
    const nextKey = this.#nextKey(admitted, result);
    return { callId, result: result.mapErr(withRetryAfter), nextKey };
  }

  /**
   * Executes a call under a key that this daemon owns, or joins it to its execution.
   *
   * @param call The call; its body must be in memory as a whole.
   * @returns Its answer or a refusal.
   */
  runOwnedCall(call: Call): Promise<Result<Answer, Refusal>> {
    return this.#options.owner.run(call, (owned) => this.#dispatchOwned(owned));
  }

  #admit(req: CallerRequest, id: string, startMs: number): Result<Call, Refusal> {
    const objection = this.#options.checkAdmission();
    if (objection) return err(objection);
    const { workspace, host, method } = req;
    return this.#options.router
      .find({ workspace, host, method, path: pathOf(req.pathAndQuery) })
      .andThen((routing) => checkSize(routing, req))
      .andThen((routing) => this.#makeCall(routing, req, { id, startMs }))
      .mapErr((refusal) => this.#options.router.replaceIfOutdated(refusal));
  }

  #makeCall(
    { route, pool, version }: ResolvedRoute,
    req: CallerRequest,
    { id, startMs }: { id: string; startMs: number },
  ): Result<Call, Refusal> {
    const { method, pathAndQuery: target, headers, body, key, signal, cancel: giveUp } = req;
    const { timer } = this.#options;
    return parseDeadlineMs(req.deadline, route.timeoutMs).andThen((givenMs) =>
      parseDepth(req.depth).map((depth) => {
        const leftMs = givenMs - (timer.now() - startMs);
        return {
          id,
          route,
          pool,
          version,
          callerPool: this.#options.pool,
          method,
          pathAndQuery: target,
          headers,
          body,
          deadline: new Deadline(timer, leftMs),
          objective: new Deadline(timer, Math.min(leftMs, route.objectiveMs)),
          depth,
          key,
          signal,
          cancel: giveUp,
        };
      }),
    );
  }

  async #execute(call: Call, req: CallerRequest): Promise<Result<Answer, Refusal>> {
    if (call.route.repeatability === Repeatability.NonIdempotent) return this.#executeKeyed(call);
    const isSmall = req.announcedBytes !== undefined && req.announcedBytes <= SMALL_BODY_BYTES;
    if (!isSmall && !call.route.quarantine) return this.#executeStreamed(call);
    const limit = Math.min(call.route.bodyLimitBytes, SMALL_BODY_BYTES);
    const body = await collectBody(call.body, isSmall ? limit : call.route.bodyLimitBytes);
    if (body.isErr()) return err(bodyRefusal(body.error, call.route));
    const whole = { ...call, body: body.value };
    return this.#untilDeadline(whole, fingerprintOf(whole));
  }

  async #executeStreamed(call: Call): Promise<Result<Answer, Refusal>> {
    const { route } = call;
    const limit = { isExceeded: false };
    const onExceeded = () => {
      limit.isExceeded = true;
    };
    const limited = limitBody(call.body, route.bodyLimitBytes, { onExceeded });
    const body = new ReplayableBody(limited);
    const result = await this.#untilDeadline({ ...call, body }, undefined);
    if (result.isOk()) return result;
    await body.cancel();
    const tooLarge = bodyRefusal(CollectFailure.TooLarge, route);
    // The target got the start of the body.
    return err(
      limit.isExceeded ? makeUnknownRefusal(tooLarge.reason, tooLarge.detail) : result.error,
    );
  }

  async #executeKeyed(call: Call): Promise<Result<Answer, Refusal>> {
    if (call.key === undefined) return err(this.#keyRequired(call.route));
    const body = await collectBody(call.body, call.route.bodyLimitBytes);
    if (body.isErr()) return err(withoutProof(bodyRefusal(body.error, call.route), call.key));
    const whole = { ...call, body: body.value };
    return this.#options.relay.run(whole, () => this.runOwnedCall(whole));
  }

  #keyRequired(route: Route): Refusal {
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
    return this.#untilDeadline(call, fingerprintOf(call));
  }

  async #untilDeadline(
    call: Call,
    fingerprint: string | undefined,
  ): Promise<Result<Answer, Refusal>> {
    const expiry = !runsAtMostOnce(call.route)
      ? this.#options.timer.after(call.deadline.leftMs, call.cancel)
      : undefined;
    const result = await this.#options.dispatcher.dispatch(call, fingerprint);
    const stopWatch = () => {
      expiry?.cancel();
    };
    if (result.isOk())
      return ok({ ...result.value, body: watchBody(result.value.body, stopWatch) });
    stopWatch();
    return call.deadline.hasPassed ? err(deadlineRefusal(result.error)) : result;
  }

  #nextKey(admitted: Result<Call, Refusal>, result: Result<Answer, Refusal>): string | undefined {
    if (admitted.isErr()) return undefined;
    const { route } = admitted.value;
    if (route.repeatability !== Repeatability.NonIdempotent) return undefined;
    const given = result.isErr() ? result.error.nextKey : undefined;
    return given ?? this.#options.owner.issue(route);
  }

  #logNotAdmitted(call: string, { reason, detail }: Refusal): void {
    this.#options.log.write(Event.CallNotAdmitted, {
      call,
      reason,
      detail: detail.slice(0, MAX_DETAIL_CHARACTERS),
      version: this.#options.getVersion(),
    });
  }

  #logEnd(call: string, result: Result<Answer, Refusal>, startMs: number): void {
    const elapsedMs = Math.round((this.#options.timer.now() - startMs) * 100) / 100;
    const end = result.isOk()
      ? { outcome: Outcome.Answered, status: result.value.status }
      : { outcome: result.error.outcome, reason: result.error.reason };
    this.#options.log.write(Event.CallAnswered, { call, ...end, elapsedMs });
  }
}

/** Only the owner of a key can tell that no earlier call under it has run. */
function withoutProof(refusal: Refusal, key: string | undefined): Refusal {
  return key === undefined ? refusal : { ...refusal, outcome: Outcome.Unknown };
}

/** Milliseconds that a caller waits, as far as that is known without a route. */
function waitOf({ deadline }: CallerRequest): number {
  return parseDeadlineMs(deadline, UNROUTED_TIMEOUT_MS).unwrapOr(0);
}

function checkSize(routing: ResolvedRoute, req: CallerRequest): Result<ResolvedRoute, Refusal> {
  const { route } = routing;
  const size = req.announcedBytes;
  if (size === undefined || size <= route.bodyLimitBytes) return ok(routing);
  const detail = `expected a body of at most ${route.bodyLimitBytes} bytes, got ${size}`;
  return err(makeNotRunRefusal(RefusalReason.BodyTooLarge, detail));
}

function bodyRefusal(failure: CollectFailure, route: Route): Refusal {
  if (failure === CollectFailure.Truncated)
    return makeNotRunRefusal(RefusalReason.BodyCut, 'the body was cut off');
  const detail = `expected a body of at most ${route.bodyLimitBytes} bytes, got more`;
  return makeNotRunRefusal(RefusalReason.BodyTooLarge, detail);
}

function deadlineRefusal(refusal: Refusal): Refusal {
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

function fingerprintOf(call: Call): string | undefined {
  if (!call.route.quarantine || !(call.body instanceof BufferedBody)) return undefined;
  const { workspace, name } = call.route;
  const subject = `${workspace}/${name} ${call.method} ${call.pathAndQuery}\n`;
  return createHash('sha256').update(subject).update(call.body.bytes).digest('base64url');
}
