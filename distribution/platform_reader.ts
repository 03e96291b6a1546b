import {
  DocumentKind,
  type DocumentSource,
  type DocumentStore,
  type OfferedDocument,
} from '../configuration/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';

/** The documents of the platform. */
export const DOCUMENT_KINDS = [DocumentKind.Configuration, DocumentKind.Fleet] as const;

/** Options of {@linkcode PlatformReader}. */
export interface PlatformReaderOptions {
  log: EventLog;
  store: DocumentStore;
  platform: DocumentSource;
  /** Called with each newer version of a document. */
  offer: (offered: OfferedDocument) => void;
  /** Called when the platform has answered, unless the last read of the other document failed. */
  onCurrent: () => void;
}

/** Reads the platform's documents for one daemon. */
export class PlatformReader {
  readonly #options: PlatformReaderOptions;
  /** Whether the last read of each document failed. */
  readonly #isReadFailing: Record<DocumentKind, boolean> = {
    [DocumentKind.Configuration]: false,
    [DocumentKind.Fleet]: false,
  };
  #reads = 0;

  /** @param options See {@linkcode PlatformReaderOptions}. */
  constructor(options: PlatformReaderOptions) {
    this.#options = options;
  }

  /** @returns Number of reads and watches since the start. */
  get reads(): number {
    return this.#reads;
  }

  /** @returns Whether the last read of a document failed. */
  get isFailing(): boolean {
    return DOCUMENT_KINDS.some((kind) => this.#isReadFailing[kind]);
  }

  /**
   * Reads a document, and offers it if it is newer than the one in force.
   *
   * @param kind Kind of the document.
   * @param waitMs Longest wait for a newer version, in milliseconds; zero to read at once.
   * @returns Whether the platform answered.
   */
  async read(kind: DocumentKind, waitMs: number): Promise<boolean> {
    const isAnswered = await this.#read(kind, waitMs);
    if (isAnswered && !this.isFailing) this.#options.onCurrent();
    return isAnswered;
  }

  /**
   * Reads both documents at once.
   *
   * @returns Whether the platform answered both reads.
   */
  async readBoth(): Promise<boolean> {
    const reads = await Promise.all(DOCUMENT_KINDS.map((kind) => this.#read(kind, 0)));
    const areAnswered = reads.every(Boolean);
    if (areAnswered) this.#options.onCurrent();
    return areAnswered;
  }

  async #read(document: DocumentKind, waitMs: number): Promise<boolean> {
    const { platform, store, log, offer } = this.#options;
    this.#reads += 1;
    const afterVersion = store.versionOf(document);
    const { inForce } = store;
    const isUnconfirmed = store.isUnconfirmed(document);
    const read = await platform.read({ document, afterVersion, isUnconfirmed, inForce, waitMs });
    this.#isReadFailing[document] = read.isErr();
    if (read.isErr()) {
      log.write(Event.PlatformUnreachable, { document, detail: read.error.detail });
      return false;
    }
    if (read.value) offer({ document, base: 0, baseDigest: '', ...read.value });
    return true;
  }
}
