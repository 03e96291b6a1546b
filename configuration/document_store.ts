import { createHash } from 'node:crypto';
import fastJsonPatch, { type Operation } from 'fast-json-patch';
import { err, ok, type Result } from 'neverthrow';
import stableStringify from 'safe-stable-stringify';
import { JsoncDocument, checkDocument, formatFinding, type Finding } from '../finding/mod.ts';
import type { Fleet } from '../instance/mod.ts';
import { Configuration } from './configuration.ts';
import { DocumentKind } from './document_kind.ts';
import { fleetSchema, toFleet } from './fleet_schema.ts';

/** How a document came to be offered. */
export interface OfferedDocument {
  document: DocumentKind;
  version: number;
  /** Version that the text is a patch to; zero for a whole document. */
  base: number;
  /** Digest of the document that the text is a patch to; empty for a whole document. */
  baseDigest: string;
  /** JSON of the document, or of a JSON Patch. */
  text: string;
}

/** What became of an offered document. */
export enum OfferResult {
  /** It is in force now. */
  Applied = 'applied',
  /** The same or a newer version is in force. */
  Old = 'old',
  /** It has findings; the version before stays in force. */
  Rejected = 'rejected',
  /** It is a patch to a document that is not in force; only a whole one helps. */
  WrongBase = 'wrong-base',
}

/** A version that was refused as a whole. */
export interface RejectedVersion {
  version: number;
  findings: string[];
}

interface Held {
  version: number;
  value: object | undefined;
  text: string;
  /** Patch from the version before. */
  patch: string;
  patchBase: number;
  patchBaseDigest: string;
}

const NOTHING: Held = {
  version: 0,
  value: undefined,
  text: '',
  patch: '',
  patchBase: -1,
  patchBaseDigest: '',
};

/** Called with each version that comes into force. */
export interface DocumentListener {
  onConfiguration: (configuration: Configuration) => void;
  onFleet: (fleet: Fleet) => void;
}

/** The documents in force. Versions only rise; a version with a finding is refused whole. */
export class DocumentStore {
  readonly #listener: DocumentListener;
  readonly #held: Record<DocumentKind, Held> = {
    [DocumentKind.Configuration]: NOTHING,
    [DocumentKind.Fleet]: NOTHING,
  };
  #rejected: RejectedVersion | undefined;

  /** @param listener Called with each version that comes into force. */
  constructor(listener: DocumentListener) {
    this.#listener = listener;
  }

  /** @returns The configuration version last refused, if it is newer than the one in force. */
  get rejected(): RejectedVersion | undefined {
    const isNewer = (this.#rejected?.version ?? 0) > this.versionOf(DocumentKind.Configuration);
    return isNewer ? this.#rejected : undefined;
  }

  /**
   * @param kind A document.
   * @returns Its version in force; zero if there is none.
   */
  versionOf(kind: DocumentKind): number {
    return this.#held[kind].version;
  }

  /**
   * @param offered A document from the platform or a peer.
   * @returns What became of it.
   */
  offer(offered: OfferedDocument): OfferResult {
    const { document, version, base, baseDigest } = offered;
    const held = this.#held[document];
    if (version <= held.version) return OfferResult.Old;
    // Platforms that page their answers may give two readers different contents under one version.
    const isBase = base === held.version && baseDigest === digestOf(held.value);
    if (base !== 0 && !isBase) return OfferResult.WrongBase;
    const value =
      base === 0 ? ok<unknown, Finding[]>(undefined) : applyPatch(held.value, offered.text);
    if (value.isErr()) return OfferResult.WrongBase;
    const text = base === 0 ? offered.text : JSON.stringify(value.value);
    const applied = this.#apply(document, version, text);
    if (applied.isOk()) return OfferResult.Applied;
    const findings = applied.error.map(formatFinding);
    if (document === DocumentKind.Configuration) this.#rejected = { version, findings };
    return OfferResult.Rejected;
  }

  /**
   * @param kind A document.
   * @param haveVersion Version that the receiver has.
   * @returns What to send it: a patch if it has the version before, else the whole; nothing if it is up to date.
   */
  updateFor(kind: DocumentKind, haveVersion: number): OfferedDocument | undefined {
    const { version, text, patch, patchBase, patchBaseDigest } = this.#held[kind];
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

  #apply(kind: DocumentKind, version: number, text: string): Result<void, Finding[]> {
    const source = new JsoncDocument(kind, text);
    if (kind === DocumentKind.Fleet) {
      return checkDocument(source, fleetSchema).map(({ value }) => {
        this.#hold(kind, version, value);
        this.#listener.onFleet(toFleet({ ...value, version }));
      });
    }
    return Configuration.parse(source).andThen((configuration) => {
      if (configuration.version !== version)
        return err([wrongVersion(source, configuration, version)]);
      this.#hold(kind, version, configuration.document);
      this.#listener.onConfiguration(configuration);
      return ok(undefined);
    });
  }

  #hold(kind: DocumentKind, version: number, value: object): void {
    const before = this.#held[kind];
    const text = JSON.stringify(value);
    const patch = before.value ? JSON.stringify(fastJsonPatch.compare(before.value, value)) : '';
    const isWorthwhile = before.value !== undefined && patch.length < text.length;
    const patchBase = isWorthwhile ? before.version : -1;
    const patchBaseDigest = isWorthwhile ? digestOf(before.value) : '';
    this.#held[kind] = { version, value, text, patch, patchBase, patchBaseDigest };
  }
}

/** The order of keys depends on the patches that led to a value and does not count. */
function digestOf(value: object | undefined): string {
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

function wrongVersion(
  source: JsoncDocument,
  configuration: Configuration,
  version: number,
): Finding {
  const problem = `expected version ${version}, got ${configuration.version}`;
  return { place: source.placeOf(['version']), path: 'version', problem };
}
