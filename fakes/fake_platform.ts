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

/** State of the platform's configuration service. */
export enum PlatformState {
  Up = 'up',
  Down = 'down',
  /** Answers with the versions that were current when it became stale. */
  Stale = 'stale',
}

const ANSWER_MS = 3;
/** Time beyond its wait after which a reader gives up a read without an answer, in milliseconds. */
const READ_TIMEOUT_MS = 700;

/** In-memory platform: a configuration and an instance list that can be read and watched. */
export class FakePlatform implements DocumentSource {
  readonly isLinearizable = false;
  readonly #timer: TimerService;
  readonly #waiters = new Set<() => void>();
  readonly #documents: Record<DocumentKind, PublishedDocument>;
  #staleDocuments: Record<DocumentKind, PublishedDocument> | undefined;
  #state = PlatformState.Up;
  #silence = new AbortController();
  /** Number of reads and watches so far. */
  reads = 0;

  /**
   * @param timer The timer for its delays.
   * @param configuration Initial version of the configuration.
   */
  constructor(timer: TimerService, configuration: ConfigurationDocument) {
    this.#timer = timer;
    this.#documents = {
      [DocumentKind.Configuration]: makeDocument(configuration),
      [DocumentKind.Fleet]: { version: 0, text: '' },
    };
  }

  /**
   * Changes the state and wakes the pending watches.
   *
   * @param state The new state.
   */
  setState(state: PlatformState): void {
    this.#state = state;
    this.#staleDocuments = state === PlatformState.Stale ? { ...this.#documents } : undefined;
    this.#wakeAll();
  }

  /** Leaves the pending watches without an answer, as if their connections had gone silent. */
  silenceReads(): void {
    this.#silence.abort();
    this.#silence = new AbortController();
  }

  /**
   * Publishes a version of the configuration.
   *
   * @param configuration The next version.
   */
  publish(configuration: ConfigurationDocument): void {
    this.#documents[DocumentKind.Configuration] = makeDocument(configuration);
    this.#wakeAll();
  }

  /**
   * Publishes a new version of the instance list.
   *
   * @param instances The listed instances.
   */
  setInstances(instances: readonly Instance[]): void {
    const version = this.#documents[DocumentKind.Fleet].version + 1;
    const text = JSON.stringify(toFleetDocument(version, instances));
    this.#documents[DocumentKind.Fleet] = { version, text };
    this.#wakeAll();
  }

  async read(req: ReadRequest): Promise<Result<PublishedDocument | undefined, SourceError>> {
    this.reads += 1;
    const { signal: silenced } = this.#silence;
    const givesUpAtMs = this.#timer.now() + req.waitMs + READ_TIMEOUT_MS;
    await this.#delay(ANSWER_MS);
    if (this.#isDown()) return err({ detail: 'down' });
    if (!this.#isNewer(req) && req.waitMs > 0) await this.#waitForChange(req);
    if (silenced.aborted) {
      await this.#delay(givesUpAtMs - this.#timer.now());
      return err({ detail: 'no answer' });
    }
    if (this.#isDown()) return err({ detail: 'down' });
    return ok(this.#isNewer(req) ? this.#currentDocument(req.document) : undefined);
  }

  #isDown(): boolean {
    return this.#state === PlatformState.Down;
  }

  #isNewer({ document: kind, afterVersion }: ReadRequest): boolean {
    return this.#currentDocument(kind).version > afterVersion;
  }

  #currentDocument(kind: DocumentKind): PublishedDocument {
    return (this.#staleDocuments ?? this.#documents)[kind];
  }

  async #waitForChange(req: ReadRequest): Promise<void> {
    const endMs = this.#timer.now() + req.waitMs;
    while (this.#state === PlatformState.Up && !this.#isNewer(req) && this.#timer.now() < endMs) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          timeout.cancel();
          this.#waiters.delete(finish);
          resolve();
        };
        const timeout = this.#timer.after(endMs - this.#timer.now(), finish);
        this.#waiters.add(finish);
      });
    }
  }

  #delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#timer.after(delayMs, resolve);
    });
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}

function makeDocument(configuration: ConfigurationDocument): PublishedDocument {
  return { version: configuration.version, text: JSON.stringify(configuration) };
}
