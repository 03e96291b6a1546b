import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { resetSocket } from '../link/mod.ts';
import { RealTimer } from '../timer/mod.ts';

/** State of the store. */
export enum StoreMode {
  Up = 'up',
  /** Answers every request with status 503. */
  Unavailable = 'refusing',
  /** Answers every request with status 429. */
  RateLimiting = 'limiting',
  /** Resets the connection of every request. */
  Resetting = 'resetting',
  /** Accepts requests and never answers them. */
  Silent = 'silent',
}

interface Item {
  key: string;
  /** Value in Base64; `undefined` for a removed item. */
  value: string | undefined;
  revision: number;
}

/** Content of the store at one moment. */
export interface StoreCopy {
  items: ReadonlyMap<string, Item>;
  history: readonly Item[];
  revision: number;
}

const PAGE_ITEMS = 2;

/** Stand-in for the users' store, with pages, watches, a droppable history, outages and restores. */
export class StoreStandIn {
  mode = StoreMode.Up;
  /** Number of requests so far, by path. */
  readonly requests = new Map<string, number>();
  /** Called with the path of each request before it is answered. */
  onRequest: ((path: string) => void) | undefined;
  /** Time for which answers are under way, in milliseconds. */
  answerDelayMs = 0;
  #items = new Map<string, Item>();
  #era = 1;
  #history: Item[] = [];
  #historyStart = 0;
  #revision = 1;
  readonly #timer = new RealTimer();
  readonly #waiters = new Set<() => void>();
  readonly #server: Server;

  private constructor() {
    this.#server = createServer((req, res) => {
      this.#serve(req, res);
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

  /** @returns The origin of its URLs. */
  get url(): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /**
   * Creates or replaces an item.
   *
   * @param key Key of the item.
   * @param value Value of the item; stored as JSON unless it is a string.
   */
  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision: this.#nextRevision(),
    };
    this.#items.set(key, item);
    this.#record(item);
  }

  /**
   * Removes an item.
   *
   * @param key Key of the item.
   */
  remove(key: string): void {
    this.#items.delete(key);
    this.#record({ key, value: undefined, revision: this.#nextRevision() });
  }

  /** Drops the history. Watches that start at an earlier revision get status 410. */
  dropHistory(): void {
    this.#history = [];
    this.#historyStart = this.#revision;
  }

  /**
   * @param prefix Prefix of keys.
   * @returns The keys of the items under the prefix.
   */
  keys(prefix: string): string[] {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  /** @returns A copy of the content. */
  copy(): StoreCopy {
    return { items: new Map(this.#items), history: [...this.#history], revision: this.#revision };
  }

  /**
   * Goes back to a copy of the content. What was written since is lost, and its revisions are given
   * out again. Watches that are pending see nothing of it.
   *
   * @param copy The copy.
   */
  restore({ items, history, revision }: StoreCopy): void {
    this.#items = new Map(items);
    this.#history = [...history];
    this.#revision = revision;
    this.#era += 1;
  }

  /** Stops the server and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #nextRevision(): number {
    this.#revision += 1;
    return this.#revision;
  }

  #record(item: Item): void {
    this.#history.push(item);
    for (const wake of [...this.#waiters]) wake();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://store');
    this.requests.set(url.pathname, (this.requests.get(url.pathname) ?? 0) + 1);
    this.onRequest?.(url.pathname);
    switch (this.mode) {
      case StoreMode.Up:
        this.#answer(url, res);
        break;
      case StoreMode.Unavailable:
        res.writeHead(503, this.#eraHeader).end();
        break;
      case StoreMode.RateLimiting:
        res.writeHead(429, this.#eraHeader).end();
        break;
      case StoreMode.Resetting:
        resetSocket(req.socket);
        break;
      case StoreMode.Silent:
        break;
    }
  }

  #answer({ pathname, searchParams }: URL, res: ServerResponse): void {
    const prefix = searchParams.get('prefix') ?? '';
    if (pathname === '/kv-range') {
      this.#sendJson(res, this.#range(prefix, searchParams.get('after') ?? ''));
    } else {
      const waitMs = Number(searchParams.get('wait_ms'));
      this.#watch(res, { prefix, after: Number(searchParams.get('after')), waitMs });
    }
  }

  #range(prefix: string, after: string): object {
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const has_more = found.length > PAGE_ITEMS;
    return { items: found.slice(0, PAGE_ITEMS), has_more, at_rev: this.#revision };
  }

  #watch(res: ServerResponse, query: { prefix: string; after: number; waitMs: number }): void {
    const { prefix, after, waitMs } = query;
    if (after < this.#historyStart || after > this.#revision) {
      res.writeHead(410, this.#eraHeader).end();
      return;
    }
    const changes = this.#history.filter(
      ({ key, revision }) => revision > after && key.startsWith(prefix),
    );
    if (changes.length > 0 || waitMs <= 0) {
      const events = changes.map((item) =>
        item.value === undefined ? { ...item, compacted: true } : item,
      );
      this.#sendJson(res, { events, at_rev: this.#revision });
      return;
    }
    const startMs = this.#timer.now();
    const resume = () => {
      expiry.cancel();
      this.#waiters.delete(resume);
      this.#watch(res, { ...query, waitMs: waitMs - (this.#timer.now() - startMs) });
    };
    const expiry = this.#timer.after(waitMs, resume);
    this.#waiters.add(resume);
  }

  get #eraHeader(): Record<string, string> {
    return { 'store-era': String(this.#era) };
  }

  /** Sends what the store holds now, after the delay of its answers. */
  #sendJson(res: ServerResponse, value: object): void {
    const headers = { 'content-type': 'application/json', ...this.#eraHeader };
    const text = JSON.stringify(value);
    if (this.answerDelayMs === 0) res.writeHead(200, headers).end(text);
    else this.#timer.after(this.answerDelayMs, () => res.writeHead(200, headers).end(text));
  }
}
