import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { resetSocket } from '../link/mod.ts';
import { RealTimer } from '../timer/mod.ts';

/** How the store treats its readers. */
export enum StoreMode {
  Up = 'up',
  /** Answers 503 to everything. */
  Unavailable = 'refusing',
  /** Answers 429 to everything. */
  RateLimiting = 'limiting',
  /** Resets each connection. */
  Resetting = 'resetting',
  /** Takes requests and never answers. */
  Silent = 'silent',
}

interface Item {
  key: string;
  /** Base64 of the value; nothing for an item that was removed. */
  value: string | undefined;
  revision: number;
}

const PAGE_ITEMS = 2;

/** Stands in for the users' store: pages, watches, a history that can be dropped, and outages. */
export class StoreStandIn {
  mode = StoreMode.Up;
  /** Calls so far, by path. */
  readonly requests = new Map<string, number>();
  readonly #items = new Map<string, Item>();
  #history: Item[] = [];
  #historyStart = 0;
  #revision = 1;
  readonly #timer = new RealTimer();
  readonly #waiting = new Set<() => void>();
  readonly #server: Server;

  private constructor() {
    this.#server = createServer((incoming, outgoing) => {
      this.#serve(incoming, outgoing);
    });
  }

  /** @returns The stand-in, once it listens on the loopback interface. */
  static async listen(): Promise<StoreStandIn> {
    const standIn = new StoreStandIn();
    await new Promise<void>((resolve) => {
      standIn.#server.listen(0, '127.0.0.1', resolve);
    });
    return standIn;
  }

  /** @returns Its origin. */
  get url(): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /**
   * @param key Key of an item.
   * @param value Its value, as JSON unless it is a text.
   */
  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const item = { key, value: Buffer.from(text).toString('base64'), revision: this.#next() };
    this.#items.set(key, item);
    this.#record(item);
  }

  /** @param key Key of an item to remove. */
  remove(key: string): void {
    this.#items.delete(key);
    this.#record({ key, value: undefined, revision: this.#next() });
  }

  /** Forgets all changes until now; watches that go on from before are refused. */
  dropHistory(): void {
    this.#history = [];
    this.#historyStart = this.#revision;
  }

  /** Ends all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #next(): number {
    this.#revision += 1;
    return this.#revision;
  }

  #record(item: Item): void {
    this.#history.push(item);
    for (const wake of [...this.#waiting]) wake();
  }

  #serve(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const url = new URL(incoming.url ?? '/', 'http://store');
    this.requests.set(url.pathname, (this.requests.get(url.pathname) ?? 0) + 1);
    switch (this.mode) {
      case StoreMode.Up:
        this.#answer(url, outgoing);
        break;
      case StoreMode.Unavailable:
        outgoing.writeHead(503).end();
        break;
      case StoreMode.RateLimiting:
        outgoing.writeHead(429).end();
        break;
      case StoreMode.Resetting:
        resetSocket(incoming.socket);
        break;
      case StoreMode.Silent:
        break;
    }
  }

  #answer({ pathname, searchParams }: URL, outgoing: ServerResponse): void {
    const prefix = searchParams.get('prefix') ?? '';
    if (pathname === '/kv-range') {
      sendJson(outgoing, this.#range(prefix, searchParams.get('after') ?? ''));
    } else {
      const waitMs = Number(searchParams.get('wait_ms'));
      this.#watch(outgoing, { prefix, after: Number(searchParams.get('after')), waitMs });
    }
  }

  #range(prefix: string, after: string): object {
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const has_more = found.length > PAGE_ITEMS;
    return { items: found.slice(0, PAGE_ITEMS), has_more, at_rev: this.#revision };
  }

  #watch(outgoing: ServerResponse, query: { prefix: string; after: number; waitMs: number }): void {
    const { prefix, after, waitMs } = query;
    if (after < this.#historyStart) {
      outgoing.writeHead(410).end();
      return;
    }
    const changes = this.#history.filter(
      ({ key, revision }) => revision > after && key.startsWith(prefix),
    );
    if (changes.length > 0 || waitMs <= 0) {
      const events = changes.map((item) =>
        item.value === undefined ? { ...item, compacted: true } : item,
      );
      sendJson(outgoing, { events, at_rev: this.#revision });
      return;
    }
    const startMs = this.#timer.now();
    const again = () => {
      expiry.cancel();
      this.#waiting.delete(again);
      this.#watch(outgoing, { ...query, waitMs: waitMs - (this.#timer.now() - startMs) });
    };
    const expiry = this.#timer.after(waitMs, again);
    this.#waiting.add(again);
  }
}

function sendJson(outgoing: ServerResponse, value: object): void {
  outgoing.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}
