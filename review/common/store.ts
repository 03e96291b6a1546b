/* eslint-disable no-restricted-globals, no-restricted-properties, no-restricted-syntax */
/**
 * Stand-in for the platform's metadata store: pages, watches and a counter of revisions.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Item {
  key: string;
  /** Value in Base64; `undefined` for a removed item. */
  value: string | undefined;
  revision: number;
}

interface Watch {
  /** Number of the machine that watches. */
  machine: number;
  prefix: string;
  after: number;
  untilMs: number;
}

const PAGE_ITEMS = 500;

/** Stand-in for the store. */
export class Store {
  /** Numbers of the machines that it turns away with status 503. */
  readonly turnedAway = new Set<number>();
  /** Number of watches so far, by number of the machine. */
  readonly watches = new Map<number, number>();
  /** Called before a range is read, with the number of the machine and the prefix. */
  onRange: ((machine: number, prefix: string) => void) | undefined;
  readonly #servers: readonly Server[];
  readonly #items = new Map<string, Item>();
  readonly #history: Item[] = [];
  readonly #waiters = new Set<() => void>();
  #revision = 100;

  private constructor(machines: number) {
    this.#servers = Array.from({ length: machines }, (_, index) =>
      createServer((req, res) => {
        this.#serve(req, res, index + 1);
      }),
    );
  }

  /**
   * Starts the stand-in.
   *
   * @param machines Number of machines; each reaches the store at an address of its own.
   * @returns The stand-in, once it listens.
   */
  static async listen(machines: number): Promise<Store> {
    const store = new Store(machines);
    const listening = store.#servers.map(
      (each, index) =>
        new Promise<void>((resolve) => each.listen(0, `127.42.0.${index + 1}`, resolve)),
    );
    await Promise.all(listening);
    return store;
  }

  /**
   * @param machine Number of a machine.
   * @returns `host:port` at which it reaches the store.
   */
  addressFor(machine: number): string {
    const address = this.#servers[machine - 1]?.address() as AddressInfo;
    return `${address.address}:${address.port}`;
  }

  /**
   * Turns machines away from now on, also those whose watches wait, and serves all others.
   *
   * @param machines Their numbers.
   */
  rejectMachines(machines: readonly number[]): void {
    this.turnedAway.clear();
    for (const each of machines) this.turnedAway.add(each);
    for (const wake of [...this.#waiters]) wake();
  }

  /**
   * Writes an item.
   *
   * @param key Its key.
   * @param value Its value, stored as JSON.
   */
  put(key: string, value: object): void {
    this.#revision += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    const item = { key, value: text, revision: this.#revision };
    this.#items.set(key, item);
    this.#record(item);
  }

  /**
   * Removes an item.
   *
   * @param key Its key.
   */
  remove(key: string): void {
    this.#revision += 1;
    this.#items.delete(key);
    this.#record({ key, value: undefined, revision: this.#revision });
  }

  /** Closes the server and its connections. */
  close(): void {
    for (const each of this.#servers) {
      each.close();
      each.closeAllConnections();
    }
  }

  #record(item: Item): void {
    this.#history.push(item);
    for (const wake of [...this.#waiters]) wake();
  }

  #serve(req: IncomingMessage, res: ServerResponse, machine: number): void {
    const { pathname, searchParams } = new URL(req.url ?? '/', 'http://store');
    if (this.turnedAway.has(machine)) {
      res.writeHead(503).end();
      return;
    }
    const prefix = searchParams.get('prefix') ?? '';
    const after = searchParams.get('after') ?? '';
    if (pathname === '/kv-range') {
      this.onRange?.(machine, prefix);
      this.#sendRange(res, prefix, after);
    } else if (pathname === '/kv-watch') {
      this.watches.set(machine, (this.watches.get(machine) ?? 0) + 1);
      const untilMs = Date.now() + Number(searchParams.get('wait_ms'));
      this.#watch(res, { machine, prefix, after: Number(after), untilMs });
    } else res.writeHead(404).end();
  }

  #sendRange(res: ServerResponse, prefix: string, after: string): void {
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    sendJson(res, {
      items: found.slice(0, PAGE_ITEMS),
      has_more: found.length > PAGE_ITEMS,
      at_rev: this.#revision,
    });
  }

  #watch(res: ServerResponse, query: Watch): void {
    const { machine, prefix, after, untilMs } = query;
    if (this.turnedAway.has(machine)) {
      res.writeHead(503).end();
      return;
    }
    const events = this.#history
      .filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
      .map((item) => (item.value === undefined ? { ...item, compacted: true } : item));
    const leftMs = untilMs - Date.now();
    if (events.length > 0 || leftMs <= 0) {
      sendJson(res, { events, at_rev: this.#revision });
      return;
    }
    const wake = () => {
      clearTimeout(timer);
      this.#waiters.delete(wake);
      if (!res.destroyed) this.#watch(res, query);
    };
    const timer = setTimeout(wake, leftMs);
    this.#waiters.add(wake);
  }
}

function sendJson(res: ServerResponse, value: object): void {
  res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}
