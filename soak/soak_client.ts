import { Client } from 'undici';
import type { RandomSource } from '../random/mod.ts';
import { CALLER_POOL_HEADER, PLATFORM_HOST, type PlatformRoute } from '../stand_in/mod.ts';
import { sleep } from '../timer/mod.ts';
import type { ObservedCall } from './guarantees.ts';
import type { SoakMachine } from './soak_machine.ts';
import { ROUTES, type SoakCluster } from './soak_cluster.ts';

/** Time that a client waits for an answer, in milliseconds. */
const DEADLINE_MS = 1_500;
/** Longest pause of a client between two calls, in milliseconds. */
const MAX_PAUSE_MS = 120;
/** Largest body of a call, in bytes: above what travels in one frame between daemons. */
const MAX_BODY_BYTES = 100_000;
/** One call in so many is given up early. */
const GIVE_UP_ONE_IN = 20;
const MAX_PATIENCE_MS = 60;

/** A client on one machine; uses its open connection until that ends, whatever the daemon is doing. */
export class SoakClient {
  readonly #world: SoakCluster;
  readonly #machine: SoakMachine;
  readonly #random: RandomSource;
  readonly #name: string;
  #calls = 0;

  /**
   * @param world The world.
   * @param machine Machine that it calls.
   * @param options Its name, and its source of random numbers.
   */
  constructor(
    world: SoakCluster,
    machine: SoakMachine,
    { name, random }: { name: string; random: RandomSource },
  ) {
    this.#world = world;
    this.#machine = machine;
    this.#name = name;
    this.#random = random;
  }

  /** @param stop Ends the client's calls. */
  async run(stop: AbortSignal): Promise<void> {
    const client = new Client(this.#machine.origin, { pipelining: 1 });
    while (!stop.aborted) {
      const route = ROUTES[this.#random.below(ROUTES.length)];
      if (route) await this.call(client, route);
      await sleep(this.#world.timer, this.#random.below(MAX_PAUSE_MS));
    }
    await client.destroy();
  }

  /**
   * @param client A connection to the machine.
   * @param route Route of the call.
   * @returns The call as the client saw it.
   */
  async call(client: Client, route: PlatformRoute): Promise<ObservedCall> {
    const { timer } = this.#world;
    this.#calls += 1;
    const id = `${this.#name}-${this.#calls}`;
    const bodyBytes = route.isSafe ? 0 : this.#random.below(MAX_BODY_BYTES);
    const isGivenUp = this.#random.below(GIVE_UP_ONE_IN) === 0;
    const waitMs = isGivenUp ? this.#random.below(MAX_PATIENCE_MS) + 1 : DEADLINE_MS;
    const sentAtMs = timer.now();
    const path = `${route.prefix}${id}?round=${this.#calls}`;
    const method = route.isSafe ? 'GET' : 'POST';
    const abort = new AbortController();
    const expiry = timer.after(waitMs, () => {
      abort.abort();
    });
    let answer: Pick<ObservedCall, 'status' | 'isSigned' | 'body'> = {
      status: undefined,
      isSigned: false,
      body: undefined,
    };
    try {
      const res = await client.request({
        method,
        path,
        headers: {
          host: PLATFORM_HOST,
          'request-id': id,
          'request-deadline': String(DEADLINE_MS),
          // Not what the daemon may pass on.
          [CALLER_POOL_HEADER]: 'none',
        },
        body: bodyBytes > 0 ? Buffer.alloc(bodyBytes, 'x') : null,
        signal: abort.signal,
      });
      const isSigned = res.headers['response-signature'] !== undefined;
      answer = { status: res.statusCode, isSigned, body: undefined };
      answer.body = await res.body.text();
    } catch {
      // The call ended without a whole answer, which `answer` says.
    }
    expiry.cancel();
    const seen: ObservedCall = {
      id,
      method,
      path,
      bodyBytes,
      isSafe: route.isSafe,
      homeRegions: route.homeRegions,
      machineId: this.#machine.id,
      callerPool: this.#machine.pool,
      sentAtMs,
      completedAtMs: timer.now(),
      ...answer,
      wasFaultFree: !abort.signal.aborted && this.#machine.wasFaultFreeSince(sentAtMs),
    };
    this.#world.recordCall(seen);
    return seen;
  }
}
