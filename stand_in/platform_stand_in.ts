import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import fastJsonPatch, { type Operation } from 'fast-json-patch';
import { Hono, type Context } from 'hono';
import { JsoncDocument, formatFinding } from '../finding/mod.ts';
import type { Instance } from '../instance/mod.ts';
import {
  Configuration,
  DocumentKind,
  VERSION_HEADER,
  toFleetDocument,
} from '../configuration/mod.ts';
import { RealTimer } from '../timer/mod.ts';

/** State of the platform's configuration service. */
export enum PlatformMode {
  Up = 'up',
  /** Answers every read with status 503. */
  Down = 'down',
  /** Answers with the versions that were current when this mode was set. */
  Stale = 'stale',
}

interface Document {
  version: number;
  text: string;
}

interface PublishBody {
  base: number;
  patch: Operation[];
}

const DEFAULT_LAG_MS = 200;

/** Options of {@linkcode PlatformStandIn.listen}. */
export interface PlatformStandInOptions {
  port?: number;
  /** Initial version of the configuration, as JSON. */
  configuration: string;
  /** Delay between a change of the instances and the new instance list, in milliseconds. */
  lagMs?: number;
}

/**
 * Stand-in for the platform: a configuration service that can be read and watched, an instance
 * list that lags, and an endpoint at which operators publish configurations.
 */
export class PlatformStandIn {
  readonly #timer = new RealTimer();
  readonly #lagMs: number;
  readonly #waiters = new Set<() => void>();
  readonly #documents: Record<DocumentKind, Document>;
  #staleDocuments: Record<DocumentKind, Document> | undefined;
  #mode = PlatformMode.Up;
  #server: Server | undefined;
  #reads = 0;

  private constructor(options: PlatformStandInOptions) {
    this.#lagMs = options.lagMs ?? DEFAULT_LAG_MS;
    const { version } = JSON.parse(options.configuration) as { version: number };
    this.#documents = {
      [DocumentKind.Configuration]: { version, text: options.configuration },
      [DocumentKind.Fleet]: { version: 0, text: '{"version":0,"instances":{}}' },
    };
  }

  /**
   * Starts a stand-in.
   *
   * @param options See {@linkcode PlatformStandInOptions}.
   * @returns The stand-in, once it listens on the loopback interface.
   */
  static async listen(options: PlatformStandInOptions): Promise<PlatformStandIn> {
    const standIn = new PlatformStandIn(options);
    const app = standIn.#makeRoutes();
    await new Promise<void>((resolve) => {
      standIn.#server = serve(
        { fetch: app.fetch, port: options.port ?? 0, hostname: '127.0.0.1' },
        () => {
          resolve();
        },
      ) as Server;
    });
    return standIn;
  }

  /** @returns The port that it listens on. */
  get port(): number {
    return (this.#server?.address() as AddressInfo).port;
  }

  /** @returns Number of reads and watches so far. */
  get calls(): number {
    return this.#reads;
  }

  /** @returns Version of the latest configuration. */
  get configurationVersion(): number {
    return this.#documents[DocumentKind.Configuration].version;
  }

  /**
   * Changes the mode and completes the pending watches.
   *
   * @param mode The new mode.
   */
  setMode(mode: PlatformMode): void {
    this.#mode = mode;
    this.#staleDocuments = mode === PlatformMode.Stale ? { ...this.#documents } : undefined;
    this.#wakeAll();
  }

  /**
   * Publishes a new version of the instance list after {@linkcode PlatformStandInOptions.lagMs}.
   *
   * @param instances The listed instances.
   */
  setInstances(instances: readonly Instance[]): void {
    this.#timer.after(this.#lagMs, () => {
      const version = this.#documents[DocumentKind.Fleet].version + 1;
      const text = JSON.stringify(toFleetDocument(version, instances));
      this.#documents[DocumentKind.Fleet] = { version, text };
      this.#wakeAll();
    });
  }

  /**
   * Publishes a version of the configuration, as operators do.
   *
   * @param base Version that the patch applies to; must be the current one.
   * @param patch The changes, as a JSON Patch.
   * @returns Findings for which it was rejected; empty if it was published.
   */
  publish(base: number, patch: Operation[]): string[] {
    const current = this.#documents[DocumentKind.Configuration];
    if (base !== current.version) return [`expected base version ${current.version}, got ${base}`];
    const document = JSON.parse(current.text) as { version: number };
    const next = fastJsonPatch.applyPatch(document, patch).newDocument;
    const version = current.version + 1;
    const text = JSON.stringify({ ...next, version });
    const parsed = Configuration.parse(new JsoncDocument('configuration', text));
    if (parsed.isErr()) return parsed.error.map(formatFinding);
    this.publishUnchecked(version, text);
    return [];
  }

  /**
   * Publishes a text as a version of the configuration without checking it.
   *
   * @param version Number of the version.
   * @param text The document.
   */
  publishUnchecked(version: number, text: string): void {
    this.#documents[DocumentKind.Configuration] = { version, text };
    this.#wakeAll();
  }

  /** Stops the server and closes all connections. */
  close(): void {
    this.#wakeAll();
    this.#server?.close();
    (this.#server as { closeAllConnections?: () => void } | undefined)?.closeAllConnections?.();
  }

  #makeRoutes(): Hono {
    const app = new Hono();
    for (const kind of Object.values(DocumentKind)) {
      app.get(`/${kind}`, (ctx) => this.#answer(ctx, kind));
    }
    app.post('/operators/publish', async (ctx) => {
      const { base, patch } = await ctx.req.json<PublishBody>();
      const findings = this.publish(base, patch);
      if (findings.length > 0) return ctx.json({ findings }, 409);
      return ctx.json({ version: this.configurationVersion });
    });
    app.post('/stand-in/mode/:mode', (ctx) => {
      const mode = ctx.req.param('mode');
      if (!isPlatformMode(mode)) return ctx.json({ mode: this.#mode }, 400);
      this.setMode(mode);
      return ctx.json({ mode });
    });
    app.get('/stand-in/calls', (ctx) => ctx.json({ calls: this.#reads }));
    return app;
  }

  async #answer(ctx: Context, kind: DocumentKind): Promise<Response> {
    this.#reads += 1;
    const after = Number(ctx.req.query('after') ?? 0);
    const waitMs = Number(ctx.req.query('waitMs') ?? 0);
    if (this.#currentDocument(kind).version <= after && waitMs > 0)
      await this.#waitForChange(waitMs, ctx);
    if (this.#mode === PlatformMode.Down) return ctx.text('down', 503);
    const { version, text } = this.#currentDocument(kind);
    if (version <= after) return ctx.body(null, 204);
    return ctx.text(text, 200, { [VERSION_HEADER]: String(version) });
  }

  #currentDocument(kind: DocumentKind): Document {
    return (this.#staleDocuments ?? this.#documents)[kind];
  }

  #waitForChange(waitMs: number, ctx: Context): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        timeout.cancel();
        this.#waiters.delete(finish);
        resolve();
      };
      const timeout = this.#timer.after(waitMs, finish);
      this.#waiters.add(finish);
      ctx.req.raw.signal.addEventListener('abort', finish);
    });
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}

function isPlatformMode(text: string): text is PlatformMode {
  const modes: readonly string[] = Object.values(PlatformMode);
  return modes.includes(text);
}
