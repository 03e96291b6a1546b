import { Agent, errors, request, type Dispatcher } from 'undici';
import { Outcome } from '../contract/mod.ts';
import { HeaderName } from '../link/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

const DEFAULT_DEADLINE_MS = 2_000;
/** Delay between two requests of one call, in milliseconds. */
const RETRY_DELAY_MS = 20;
/** Time for which a spare key may be used, in milliseconds; less than the lifetime of a key. */
const SPARE_KEY_LIFETIME_MS = 300_000;
const DEFAULT_ANSWER_LIMIT_BYTES = 67_108_864;

/** A call to make. */
export interface CallerCall {
  method: Dispatcher.HttpMethod;
  /** Path and query. */
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
  /** Time that the caller waits for the answer, in milliseconds. */
  deadlineMs?: number;
  /** Label of the route, under which spare keys are stored; method and path by default. */
  routeLabel?: string;
  /** Cancels the call. */
  signal?: AbortSignal;
}

/** Result of a call. */
export interface CallerResult {
  outcome: Outcome;
  /** HTTP status of the answer or refusal; zero if the last request got no HTTP response. */
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
  /** Number of requests that were sent. */
  requestCount: number;
}

/** Options of {@linkcode Caller}. */
export interface CallerOptions {
  timer: TimerService;
  /** Origins of daemons, such as `http://127.0.0.1:8080`; used in turn. */
  origins: readonly string[];
  workspace: string;
  /** Largest body of an answer, in bytes; 64 MiB by default. The outcome of a call with a larger one is unknown. */
  answerLimitBytes?: number;
  /** Offset into the origins; the first request goes to the origin after it. Zero by default. */
  originOffset?: number;
}

interface SpareKey {
  key: string;
  storedAtMs: number;
}

/**
 * Makes calls through daemons. Stores spare idempotency keys for each route, and sends a call
 * again after a broken connection or a response with status 503. An idempotency key, sent again with
 * the call, prevents a second execution.
 */
export class Caller {
  readonly #options: CallerOptions;
  readonly #dispatcher: Agent;
  readonly #spareKeys = new Map<string, SpareKey[]>();
  #originIndex: number;

  /** @param options See {@linkcode CallerOptions}. */
  constructor(options: CallerOptions) {
    this.#options = options;
    const { answerLimitBytes: maxResponseSize = DEFAULT_ANSWER_LIMIT_BYTES } = options;
    this.#dispatcher = new Agent({ maxResponseSize });
    this.#originIndex = options.originOffset ?? 0;
  }

  /**
   * Makes one call.
   *
   * @param call The call.
   * @returns Its result.
   */
  async call(call: CallerCall): Promise<CallerResult> {
    const { timer } = this.#options;
    const endMs = timer.now() + (call.deadlineMs ?? DEFAULT_DEADLINE_MS);
    const label = call.routeLabel ?? `${call.method} ${call.path}`;
    let key = this.#takeSpareKey(label);
    let requestCount = 0;
    let mayHaveRun = false;
    for (;;) {
      requestCount += 1;
      const result = await this.#sendRequest(call, {
        key,
        leftMs: endMs - timer.now(),
        requestCount,
      });
      mayHaveRun ||= result.outcome === Outcome.Unknown;
      const nextKey = result.headers[HeaderName.IdempotencyKey];
      const isKeyOffer = result.status === 428 && typeof nextKey === 'string';
      if (isKeyOffer) key = nextKey;
      else if (
        !shouldRetry(result) ||
        timer.now() + RETRY_DELAY_MS >= endMs ||
        call.signal?.aborted
      ) {
        if (typeof nextKey === 'string') this.#storeSpareKey(label, nextKey);
        return makeFinalResult(result, mayHaveRun);
      } else await sleep(timer, RETRY_DELAY_MS);
    }
  }

  async #sendRequest(
    call: CallerCall,
    {
      key,
      leftMs,
      requestCount,
    }: { key: string | undefined; leftMs: number; requestCount: number },
  ): Promise<CallerResult> {
    const headers = {
      ...call.headers,
      [HeaderName.Workspace]: this.#options.workspace,
      [HeaderName.Deadline]: String(Math.max(1, Math.floor(leftMs))),
      ...(key === undefined ? {} : { [HeaderName.IdempotencyKey]: key }),
    };
    let status = 0;
    try {
      const res = await request(`${this.#nextOrigin()}${call.path}`, {
        dispatcher: this.#dispatcher,
        method: call.method,
        headers,
        body: call.body,
        signal: this.#makeSignal(call, leftMs),
      });
      status = res.statusCode;
      const body = Buffer.from(await res.body.arrayBuffer());
      const outcome = parseOutcome(res.headers[HeaderName.Outcome]);
      return { outcome, status, headers: res.headers, body, requestCount };
    } catch (error) {
      const isTooLarge = error instanceof errors.ResponseExceededMaxSizeError;
      const { code } = error as { code?: string };
      const outcome = code === 'ECONNREFUSED' ? Outcome.NotRun : Outcome.Unknown;
      const finalStatus = isTooLarge ? status : 0;
      return { outcome, status: finalStatus, headers: {}, body: Buffer.alloc(0), requestCount };
    }
  }

  #makeSignal(call: CallerCall, leftMs: number): AbortSignal {
    // The daemon responds by the deadline; this timeout only ends a request that hangs.
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(leftMs + RETRY_DELAY_MS)));
    return call.signal ? AbortSignal.any([call.signal, timeout]) : timeout;
  }

  #nextOrigin(): string {
    const { origins } = this.#options;
    this.#originIndex += 1;
    return origins[this.#originIndex % origins.length] ?? '';
  }

  #takeSpareKey(label: string): string | undefined {
    const keys = this.#spareKeys.get(label) ?? [];
    for (let spareKey = keys.pop(); spareKey; spareKey = keys.pop()) {
      if (this.#options.timer.now() - spareKey.storedAtMs < SPARE_KEY_LIFETIME_MS)
        return spareKey.key;
    }
    return undefined;
  }

  #storeSpareKey(label: string, key: string): void {
    const keys = this.#spareKeys.get(label) ?? [];
    keys.push({ key, storedAtMs: this.#options.timer.now() });
    this.#spareKeys.set(label, keys);
  }
}

function parseOutcome(text: string | string[] | undefined): Outcome {
  if (text === Outcome.NotRun) return Outcome.NotRun;
  return text === Outcome.Answered ? Outcome.Answered : Outcome.Unknown;
}

/** Reports whether the connection broke, or another daemon or a later request may succeed. */
function shouldRetry({ status, outcome }: CallerResult): boolean {
  if (outcome === Outcome.Answered) return false;
  return status === 0 || status === 503;
}

function makeFinalResult(result: CallerResult, mayHaveRun: boolean): CallerResult {
  const isUnknown = mayHaveRun && result.outcome === Outcome.NotRun;
  return isUnknown ? { ...result, outcome: Outcome.Unknown } : result;
}
