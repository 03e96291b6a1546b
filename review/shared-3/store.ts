/* eslint-disable no-restricted-globals, no-restricted-syntax */
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Item {
  key: string;
  /** Base64 text; absent for a removed item. */
  value?: string;
  revision: number;
  compacted?: boolean;
}

/** Stand-in for the platform's store, read only: ranges and watches with the whole history. */
export class Store {
  readonly #items = new Map<string, Item>();
  readonly #history: Item[] = [];
  readonly #waiters = new Set<() => void>();
  readonly #server: Server;
  #revision = 1;

  private constructor() {
    this.#server = createServer((req, res) => {
      const { pathname, searchParams } = new URL(req.url ?? '/', 'http://store');
      const prefix = searchParams.get('prefix') ?? '';
      const after = searchParams.get('after') ?? '';
      if (pathname === '/kv-range') {
        const items = [...this.#items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        sendJson(res, { items, has_more: false, at_rev: this.#revision });
      } else if (pathname === '/kv-watch') {
        this.#watch(res, prefix, Number(after), Number(searchParams.get('wait_ms')));
      } else {
        res.writeHead(404).end();
      }
    });
  }

  static async listen(host: string): Promise<Store> {
    const store = new Store();
    await new Promise<void>((resolve) => store.#server.listen(0, host, resolve));
    return store;
  }

  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  put(key: string, value: object): void {
    this.#revision += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    const item = { key, value: text, revision: this.#revision };
    this.#items.set(key, item);
    this.#record(item);
  }

  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#record({ key, revision: this.#revision, compacted: true });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #record(item: Item): void {
    this.#history.push(item);
    for (const wake of [...this.#waiters]) wake();
  }

  #watch(res: ServerResponse, prefix: string, after: number, waitMs: number): void {
    let isDone = false;
    const answer = (isLast: boolean) => {
      const events = this.#history.filter(
        ({ key, revision }) => revision > after && key.startsWith(prefix),
      );
      if (isDone || (events.length === 0 && !isLast)) return;
      isDone = true;
      clearTimeout(expiry);
      this.#waiters.delete(wake);
      sendJson(res, { events, at_rev: this.#revision });
    };
    const wake = () => {
      answer(false);
    };
    const expiry = setTimeout(() => {
      answer(true);
    }, waitMs);
    this.#waiters.add(wake);
    wake();
  }
}

function sendJson(res: ServerResponse, value: object): void {
  res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value));
}
