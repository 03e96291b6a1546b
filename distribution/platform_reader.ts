import {
  DocumentKind,
  type DocumentSource,
  type DocumentStore,
  type OfferedDocument,
} from '../configuration/mod.ts';
import { Event, type EventLog } from '../event_log/mod.ts';
import type { TimerService } from '../timer/mod.ts';

/** The documents of the platform. */
export const DOCUMENT_KINDS = [DocumentKind.Configuration, DocumentKind.Fleet] as const;

/**
 * Longest time between two answers of the platform, one for each document, that together show that
 * both documents are current, in milliseconds; longer than the pause between two watches.
 */
const ANSWER_SPREAD_MS = 250;

/** Options of {@linkcode PlatformReader}. */
export interface PlatformReaderOptions {
  timer: TimerService;
  log: EventLog;
  store: DocumentStore;
  platform: DocumentSource;
  /** Called with each newer version of a document. */
  offer: (offered: OfferedDocument) => void;
  /** Called when the platform has answered that both documents in force are current. */
  onCurrent: () => void;
}

/** Reads the platform's documents for one daemon. */
export class PlatformReader {
  readonly #options: PlatformReaderOptions;
  /** Whether the last read of each document failed. */
  readonly #isReadFailing = makeRecord(false);
  readonly #answeredAtMs = makeRecord(-Infinity);
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
   * @param document Kind of the document.
   * @param waitMs Longest wait for a newer version, in milliseconds; zero to read at once.
   * @returns Whether the platform answered.
   */
  async read(document: DocumentKind, waitMs: number): Promise<boolean> {
    const { platform, store, log, timer, offer, onCurrent } = this.#options;
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
    this.#answeredAtMs[document] = timer.now();
    if (this.#areBothCurrent) onCurrent();
    return true;
  }

  /**
   * Reads both documents at once.
   *
   * @returns Whether the platform answered both reads.
   */
  async readBoth(): Promise<boolean> {
    const reads = await Promise.all(DOCUMENT_KINDS.map((kind) => this.read(kind, 0)));
    return reads.every(Boolean);
  }

  get #areBothCurrent(): boolean {
    const nowMs = this.#options.timer.now();
    return DOCUMENT_KINDS.every((kind) => nowMs - this.#answeredAtMs[kind] <= ANSWER_SPREAD_MS);
  }
}

function makeRecord<T>(value: T): Record<DocumentKind, T> {
  return { [DocumentKind.Configuration]: value, [DocumentKind.Fleet]: value };
}
