import { request, type Dispatcher } from 'undici';
import { Outcome } from '../contract/mod.ts';
import { HeaderName } from '../link/mod.ts';
import { sleep, type TimerService } from '../timer/mod.ts';

const DEFAULT_DEADLINE_MS = 2_000;
/** Wait between two tries, in milliseconds. */
const RETRY_DELAY_MS = 20;
/** Time for which a spare key is used, in milliseconds; below the life of a key. */
const SPARE_KEY_LIFE_MS = 300_000;

/** One call to be made. */
export interface CallerCall {
  method: Dispatcher.HttpMethod;
  /** Path and query. */
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
  /** Milliseconds until nobody waits for the answer any more. */
  deadlineMs?: number;
  /** Names the route for keeping spare keys; the method and path by default. */
  routeLabel?: string;
  /** Gives the call up. */
  signal?: AbortSignal;
}

/** How a call ended. */
export interface CallerResult {
  outcome: Outcome;
  /** Status of the answer or refusal; zero if no daemon could be reached. */
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
  /** Tries that were made. */
  tries: number;
}

/** What a {@linkcode Caller} needs. */
export interface CallerOptions {
  timer: TimerService;
  /** Origins of daemons, such as `http://127.0.0.1:8080`; tried in turn. */
  origins: readonly string[];
  workspace: string;
  /** Seeds the choice of the first daemon. */
  originOffset?: number;
}

interface SpareKey {
  key: string;
  atMs: number;
}

/**
 * Makes calls through daemons. Keeps a spare idempotency key for each route, and
 * sends a call again only while that cannot execute it twice.
 */
export class Caller {
  readonly #options: CallerOptions;
  readonly #spareKeys = new Map<string, SpareKey[]>();
  #next: number;

  /** @param options See {@linkcode CallerOptions}. */
  constructor(options: CallerOptions) {
    this.#options = options;
    this.#next = options.originOffset ?? 0;
  }

  /**
   * Makes one call.
   *
   * @param call The call.
   * @returns How it ended.
   */
  async call(call: CallerCall): Promise<CallerResult> {
    const { timer } = this.#options;
    const endMs = timer.now() + (call.deadlineMs ?? DEFAULT_DEADLINE_MS);
    const label = call.routeLabel ?? `${call.method} ${call.path}`;
    let key = this.#takeSpareKey(label);
    let tries = 0;
    let mayHaveRun = false;
    for (;;) {
      tries += 1;
      const result = await this.#try(call, { key, leftMs: endMs - timer.now(), tries });
      mayHaveRun ||= result.outcome === Outcome.Unknown;
      const nextKey = result.headers[HeaderName.IdempotencyKey];
      const isKeyOffer = result.status === 428 && typeof nextKey === 'string';
      if (isKeyOffer) key = nextKey;
      else if (
        !isWorthRepeating(result) ||
        timer.now() + RETRY_DELAY_MS >= endMs ||
        call.signal?.aborted
      ) {
        if (typeof nextKey === 'string') this.#keepSpareKey(label, nextKey);
        return conclude(result, mayHaveRun);
      } else await sleep(timer, RETRY_DELAY_MS);
    }
  }

  async #try(
    call: CallerCall,
    { key, leftMs, tries }: { key: string | undefined; leftMs: number; tries: number },
  ): Promise<CallerResult> {
    const headers = {
      ...call.headers,
      [HeaderName.Workspace]: this.#options.workspace,
      [HeaderName.Deadline]: String(Math.max(1, Math.floor(leftMs))),
      ...(key === undefined ? {} : { [HeaderName.IdempotencyKey]: key }),
    };
    try {
      const res = await request(`${this.#nextOrigin()}${call.path}`, {
        method: call.method,
        headers,
        body: call.body,
        signal: this.#signalFor(call, leftMs),
      });
      const body = Buffer.from(await res.body.arrayBuffer());
      const outcome = readOutcome(res.headers[HeaderName.Outcome]);
      return { outcome, status: res.statusCode, headers: res.headers, body, tries };
    } catch (error) {
      const { code } = error as { code?: string };
      const outcome = code === 'ECONNREFUSED' ? Outcome.NotRun : Outcome.Unknown;
      return { outcome, status: 0, headers: {}, body: Buffer.alloc(0), tries };
    }
  }

  #signalFor(call: CallerCall, leftMs: number): AbortSignal {
    // The daemon answers at the deadline; this only ends a try that hangs.
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(leftMs + RETRY_DELAY_MS)));
    return call.signal ? AbortSignal.any([call.signal, timeout]) : timeout;
  }

  #nextOrigin(): string {
    const { origins } = this.#options;
    this.#next += 1;
    return origins[this.#next % origins.length] ?? '';
  }

  #takeSpareKey(label: string): string | undefined {
    const keys = this.#spareKeys.get(label) ?? [];
    for (let spare = keys.pop(); spare; spare = keys.pop()) {
      if (this.#options.timer.now() - spare.atMs < SPARE_KEY_LIFE_MS) return spare.key;
    }
    return undefined;
  }

  #keepSpareKey(label: string, key: string): void {
    const keys = this.#spareKeys.get(label) ?? [];
    keys.push({ key, atMs: this.#options.timer.now() });
    this.#spareKeys.set(label, keys);
  }
}

function readOutcome(text: string | string[] | undefined): Outcome {
  if (text === Outcome.NotRun) return Outcome.NotRun;
  return text === Outcome.Answered ? Outcome.Answered : Outcome.Unknown;
}

/** A refusal that another daemon or a later try may not repeat, or a broken connection. */
function isWorthRepeating({ status, outcome }: CallerResult): boolean {
  if (outcome === Outcome.Answered) return false;
  return status === 0 || status === 503;
}

function conclude(result: CallerResult, mayHaveRun: boolean): CallerResult {
  const isUnknown = mayHaveRun && result.outcome === Outcome.NotRun;
  return isUnknown ? { ...result, outcome: Outcome.Unknown } : result;
}
