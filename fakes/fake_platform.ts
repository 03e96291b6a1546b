import { err, ok, type Result } from 'neverthrow';
import type { Instance } from '../instance/mod.ts';
import {
  DocumentKind,
  toFleetDocument,
  type ConfigurationDocument,
  type SourceError,
  type DocumentSource,
  type PublishedDocument,
  type ReadRequest,
} from '../configuration/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** How the platform's service behaves. */
export enum PlatformState {
  Up = 'up',
  Down = 'down',
  /** Answers with the versions of the moment at which it went stale. */
  Stale = 'stale',
}

const ANSWER_MS = 3;

/** The platform in memory. */
export class FakePlatform implements DocumentSource {
  readonly isLinearizable = false;
  readonly #timer: TimerService;
  readonly #waiting = new Set<() => void>();
  readonly #documents: Record<DocumentKind, PublishedDocument>;
  #shown: Record<DocumentKind, PublishedDocument> | undefined;
  #state = PlatformState.Up;
  /** Reads and watches so far. */
  reads = 0;

  /**
   * @param timer The source of time.
   * @param configuration First version of the configuration.
   */
  constructor(timer: TimerService, configuration: ConfigurationDocument) {
    this.#timer = timer;
    this.#documents = {
      [DocumentKind.Configuration]: document(configuration),
      [DocumentKind.Fleet]: { version: 0, text: '' },
    };
  }

  /** @param state How to behave from now on. */
  setState(state: PlatformState): void {
    this.#state = state;
    this.#shown = state === PlatformState.Stale ? { ...this.#documents } : undefined;
    this.#wake();
  }

  /** @param configuration The next version. */
  publish(configuration: ConfigurationDocument): void {
    this.#documents[DocumentKind.Configuration] = document(configuration);
    this.#wake();
  }

  /** @param instances The instances to list from now on. */
  setInstances(instances: readonly Instance[]): void {
    const version = this.#documents[DocumentKind.Fleet].version + 1;
    const text = JSON.stringify(toFleetDocument(version, instances));
    this.#documents[DocumentKind.Fleet] = { version, text };
    this.#wake();
  }

  async read(req: ReadRequest): Promise<Result<PublishedDocument | undefined, SourceError>> {
    this.reads += 1;
    await this.#pause(ANSWER_MS);
    if (this.#isDown()) return err({ detail: 'down' });
    if (!this.#isNewer(req) && req.waitMs > 0) await this.#changeWithin(req);
    if (this.#isDown()) return err({ detail: 'down' });
    return ok(this.#isNewer(req) ? this.#current(req.document) : undefined);
  }

  #isDown(): boolean {
    return this.#state === PlatformState.Down;
  }

  #isNewer({ document: kind, afterVersion }: ReadRequest): boolean {
    return this.#current(kind).version > afterVersion;
  }

  #current(kind: DocumentKind): PublishedDocument {
    return (this.#shown ?? this.#documents)[kind];
  }

  async #changeWithin(req: ReadRequest): Promise<void> {
    const endMs = this.#timer.now() + req.waitMs;
    while (this.#state === PlatformState.Up && !this.#isNewer(req) && this.#timer.now() < endMs) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          timeout.cancel();
          this.#waiting.delete(finish);
          resolve();
        };
        const timeout = this.#timer.after(endMs - this.#timer.now(), finish);
        this.#waiting.add(finish);
      });
    }
  }

  #pause(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#timer.after(delayMs, resolve);
    });
  }

  #wake(): void {
    for (const wake of [...this.#waiting]) wake();
  }
}

function document(configuration: ConfigurationDocument): PublishedDocument {
  return { version: configuration.version, text: JSON.stringify(configuration) };
}
