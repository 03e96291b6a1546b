import { createHash } from 'node:crypto';
import fastJsonPatch, { type Operation } from 'fast-json-patch';
import { err, ok, type Result } from 'neverthrow';
import stableStringify from 'safe-stable-stringify';
import { JsoncDocument, checkDocument, formatFinding, type Finding } from '../finding/mod.ts';
import type { Fleet } from '../instance/mod.ts';
import { Configuration } from './configuration.ts';
import { DocumentKind } from './document_kind.ts';
import type { DocumentsInForce } from './document_source.ts';
import { fleetSchema, toFleet } from './fleet_schema.ts';

/** A version of a document, complete or as a patch, that the platform or a peer offers. */
export interface OfferedDocument {
  document: DocumentKind;
  version: number;
  /** Version that the text is a patch to; zero for a complete document. */
  base: number;
  /** Digest of the document that the text is a patch to; empty for a complete document. */
  baseDigest: string;
  /** JSON of the document, or of a JSON Patch. */
  text: string;
  /** Whether it was read from the platform while nothing was in force. */
  isUnconfirmed?: boolean;
}

/** Result of offering a document to a {@linkcode DocumentStore}. */
export enum OfferResult {
  /** The document was valid and is in force now. */
  Applied = 'applied',
  /** The same or a newer version is already in force. */
  Old = 'old',
  /** The document has findings; the previous version stays in force. */
  Rejected = 'rejected',
  /** The patch does not apply to the document in force; the complete document is needed. */
  WrongBase = 'wrong-base',
}

/** A version that was rejected, with the reasons. */
export interface RejectedVersion {
  version: number;
  findings: string[];
}

interface StoredDocument {
  version: number;
  isUnconfirmed: boolean;
  value: object | undefined;
  text: string;
  /** Patch from the previous version; empty if there is none. */
  patch: string;
  patchBase: number;
  patchBaseDigest: string;
}

const NO_DOCUMENT: StoredDocument = {
  version: 0,
  isUnconfirmed: false,
  value: undefined,
  text: '',
  patch: '',
  patchBase: -1,
  patchBaseDigest: '',
};

/** Callbacks for each version that is applied. */
export interface DocumentListener {
  onConfiguration: (configuration: Configuration) => void;
  onFleet: (fleet: Fleet) => void;
}

/**
 * Holds the documents in force. Applies only newer versions, and rejects a
 * version with any finding as a whole.
 */
export class DocumentStore {
  readonly #listener: DocumentListener;
  readonly #documents: Record<DocumentKind, StoredDocument> = {
    [DocumentKind.Configuration]: NO_DOCUMENT,
    [DocumentKind.Fleet]: NO_DOCUMENT,
  };
  readonly #inForce: DocumentsInForce = {};
  #rejected: RejectedVersion | undefined;

  /** @param listener Called with each version that is applied. */
  constructor(listener: DocumentListener) {
    this.#listener = listener;
  }

  /** @returns The configuration version last rejected, if it is newer than the one in force. */
  get rejected(): RejectedVersion | undefined {
    const isNewer = (this.#rejected?.version ?? 0) > this.versionOf(DocumentKind.Configuration);
    return isNewer ? this.#rejected : undefined;
  }

  /** @returns The documents in force; the same object for all times. */
  get inForce(): DocumentsInForce {
    return this.#inForce;
  }

  /**
   * Returns the version of a document that is in force.
   *
   * @param kind Kind of the document.
   * @returns The version; zero if no version has been applied.
   */
  versionOf(kind: DocumentKind): number {
    return this.#documents[kind].version;
  }

  /**
   * Returns whether the version in force was read while none was, and no other has confirmed it.
   *
   * @param kind Kind of the document.
   * @returns Whether it is unconfirmed.
   */
  isUnconfirmed(kind: DocumentKind): boolean {
    return this.#documents[kind].isUnconfirmed;
  }

  /**
   * Validates a document and applies it if it is newer than the one in force, or of the same
   * version while that is unconfirmed.
   *
   * @param offered A document from the platform or a peer.
   * @returns Whether the document was applied, or why it was not.
   */
  offer(offered: OfferedDocument): OfferResult {
    const { document, version, base, baseDigest } = offered;
    const current = this.#documents[document];
    if (!isSuperseding(offered, current) || isSameContent(offered, current)) return OfferResult.Old;
    // Two readers may get different contents under one version if the platform pages its answers,
    // so the version alone does not identify the base of a patch.
    const isBaseInForce = base === current.version && baseDigest === computeDigest(current.value);
    if (base !== 0 && !isBaseInForce) return OfferResult.WrongBase;
    const value =
      base === 0 ? ok<unknown, Finding[]>(undefined) : applyPatch(current.value, offered.text);
    if (value.isErr()) return OfferResult.WrongBase;
    const text = base === 0 ? offered.text : JSON.stringify(value.value);
    const applied = this.#apply({ ...offered, text });
    if (applied.isOk()) return OfferResult.Applied;
    const findings = applied.error.map(formatFinding);
    if (document === DocumentKind.Configuration) this.#rejected = { version, findings };
    return OfferResult.Rejected;
  }

  /**
   * Returns the update that brings a receiver to the version in force.
   *
   * @param kind Kind of the document.
   * @param haveVersion Version that the receiver has.
   * @returns A patch if the receiver has the previous version and the patch is smaller, otherwise
   * the complete document; `undefined` if the receiver is up to date.
   */
  updateFor(kind: DocumentKind, haveVersion: number): OfferedDocument | undefined {
    const { version, text, patch, patchBase, patchBaseDigest } = this.#documents[kind];
    if (version <= haveVersion) return undefined;
    const isPatch = haveVersion === patchBase;
    return {
      document: kind,
      version,
      base: isPatch ? patchBase : 0,
      baseDigest: isPatch ? patchBaseDigest : '',
      text: isPatch ? patch : text,
    };
  }

  #apply(offered: OfferedDocument): Result<void, Finding[]> {
    const { document: kind, version, text } = offered;
    const source = new JsoncDocument(kind, text);
    if (kind === DocumentKind.Fleet) {
      return checkDocument(source, fleetSchema).map(({ value }) => {
        this.#store(offered, value);
        this.#inForce[DocumentKind.Fleet] = value;
        this.#listener.onFleet(toFleet({ ...value, version }));
      });
    }
    return Configuration.parse(source).andThen((configuration) => {
      if (configuration.version !== version)
        return err([makeVersionFinding(source, configuration, version)]);
      this.#store(offered, configuration.document);
      this.#inForce[DocumentKind.Configuration] = configuration.document;
      this.#listener.onConfiguration(configuration);
      return ok(undefined);
    });
  }

  #store({ document: kind, version, isUnconfirmed = false }: OfferedDocument, value: object): void {
    const previous = this.#documents[kind];
    const text = JSON.stringify(value);
    const patch = previous.value
      ? JSON.stringify(fastJsonPatch.compare(previous.value, value))
      : '';
    const isPatchSmaller = previous.value !== undefined && patch.length < text.length;
    const patchBase = isPatchSmaller ? previous.version : -1;
    const patchBaseDigest = isPatchSmaller ? computeDigest(previous.value) : '';
    const stored = { version, isUnconfirmed, value, text, patch, patchBase, patchBaseDigest };
    this.#documents[kind] = stored;
  }
}

function isSuperseding(
  { version, isUnconfirmed = false }: OfferedDocument,
  current: StoredDocument,
): boolean {
  if (version !== current.version) return version > current.version;
  return current.isUnconfirmed && !isUnconfirmed;
}

/** Whether an offered document of the version in force has the same content. */
function isSameContent({ version, base, text }: OfferedDocument, current: StoredDocument): boolean {
  return version === current.version && base === 0 && text === current.text;
}

/** Computes a digest that ignores the order of keys, which depends on the patches applied. */
function computeDigest(value: object | undefined): string {
  return createHash('sha1')
    .update(stableStringify(value) ?? '')
    .digest('base64url');
}

function applyPatch(value: unknown, text: string): Result<unknown, Finding[]> {
  try {
    const operations = JSON.parse(text) as Operation[];
    const copy = fastJsonPatch.deepClone(value) as unknown;
    return ok(fastJsonPatch.applyPatch(copy, operations, true).newDocument);
  } catch {
    return err([]);
  }
}

function makeVersionFinding(
  source: JsoncDocument,
  configuration: Configuration,
  version: number,
): Finding {
  const problem = `expected version ${version}, got ${configuration.version}`;
  return { place: source.getLocation(['version']), path: 'version', problem };
}
