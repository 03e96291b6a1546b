import { Client } from 'undici';
import type { RandomSource } from '../random/mod.ts';
import { CALLER_POOL_HEADER, PLATFORM_HOST, type PlatformRoute } from '../stand_in/mod.ts';
import { sleep } from '../timer/mod.ts';
import type { ObservedCall } from './guarantees.ts';
import type { SoakMachine } from './soak_machine.ts';
import { ROUTES, type SoakCluster } from './soak_cluster.ts';

/** Deadline of a call, and time for which a client waits for its answer, in milliseconds. */
const DEADLINE_MS = 1_500;
/** Longest time between two calls of a client, in milliseconds. */
const MAX_CALL_INTERVAL_MS = 120;
/** Largest body of a call, in bytes: more than fits into one frame between daemons. */
const MAX_BODY_BYTES = 100_000;
/** A client disconnects before the deadline in one of this many calls. */
const DISCONNECT_ONE_IN = 20;
/** Longest time until an early disconnect, in milliseconds. */
const MAX_DISCONNECT_DELAY_MS = 60;

/** A client of one machine. Keeps using its connection until that ends, also while the daemon shuts down. */
export class SoakClient {
  readonly #cluster: SoakCluster;
  readonly #machine: SoakMachine;
  readonly #random: RandomSource;
  readonly #name: string;
  #callCount = 0;

  /**
   * @param cluster The cluster.
   * @param machine The machine to call.
   * @param options Name of the client, and its source of random numbers.
   */
  constructor(
    cluster: SoakCluster,
    machine: SoakMachine,
    { name, random }: { name: string; random: RandomSource },
  ) {
    this.#cluster = cluster;
    this.#machine = machine;
    this.#name = name;
    this.#random = random;
  }

  /**
   * Calls random routes, one call at a time.
   *
   * @param stop Stops the client after the current call.
   */
  async run(stop: AbortSignal): Promise<void> {
    const connection = new Client(this.#machine.origin, { pipelining: 1 });
    while (!stop.aborted) {
      const route = ROUTES[this.#random.below(ROUTES.length)];
      if (route) await this.call(connection, route);
      await sleep(this.#cluster.timer, this.#random.below(MAX_CALL_INTERVAL_MS));
    }
    await connection.destroy();
  }

  /**
   * Sends a call and waits for its completion.
   *
   * @param connection A connection to the machine.
   * @param route Route of the call.
   * @param path Path of the call; one of its own by default.
   * @returns The call as the client observed it.
   */
  async call(connection: Client, route: PlatformRoute, path?: string): Promise<ObservedCall> {
    const { timer } = this.#cluster;
    this.#callCount += 1;
    const id = `${this.#name}-${this.#callCount}`;
    const bodyBytes = route.isSafe ? 0 : this.#random.below(MAX_BODY_BYTES);
    const disconnectsEarly = this.#random.below(DISCONNECT_ONE_IN) === 0;
    const timeoutMs = disconnectsEarly
      ? this.#random.below(MAX_DISCONNECT_DELAY_MS) + 1
      : DEADLINE_MS;
    const sentAtMs = timer.now();
    const sentPath = path ?? `${route.prefix}${id}?round=${this.#callCount}`;
    const wasEntryFaultFree = this.#machine.wasFaultFreeSince(sentAtMs);
    const method = route.isSafe ? 'GET' : 'POST';
    const abortController = new AbortController();
    const timeout = timer.after(timeoutMs, () => {
      abortController.abort();
    });
    let answer: Pick<ObservedCall, 'status' | 'isSigned' | 'body'> = {
      status: undefined,
      isSigned: false,
      body: undefined,
    };
    try {
      const res = await connection.request({
        method,
        path: sentPath,
        headers: {
          host: PLATFORM_HOST,
          'request-id': id,
          'request-deadline': String(DEADLINE_MS),
          // The daemon must replace this value.
          [CALLER_POOL_HEADER]: 'none',
        },
        body: bodyBytes > 0 ? Buffer.alloc(bodyBytes, 'x') : null,
        signal: abortController.signal,
      });
      const isSigned = res.headers['response-signature'] !== undefined;
      answer = { status: res.statusCode, isSigned, body: undefined };
      answer.body = await res.body.text();
    } catch {
      // The call got no complete answer; `answer` holds what was received.
    }
    timeout.cancel();
    const observedCall: ObservedCall = {
      id,
      method,
      path: sentPath,
      bodyBytes,
      isSafe: route.isSafe,
      homeRegions: route.homeRegions,
      machineId: this.#machine.id,
      callerPool: this.#machine.pool,
      sentAtMs,
      completedAtMs: timer.now(),
      ...answer,
      wasEntryFaultFree,
      wasFaultFree: !abortController.signal.aborted && this.#machine.wasFaultFreeSince(sentAtMs),
    };
    this.#cluster.recordCall(observedCall);
    return observedCall;
  }
}
