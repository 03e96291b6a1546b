import type { Result } from 'neverthrow';
import type { ConfigurationDocument } from './configuration_schema.ts';
import { DocumentKind } from './document_kind.ts';
import type { FleetDocument } from './fleet_schema.ts';

/** One version of a document, as text. */
export interface PublishedDocument {
  version: number;
  text: string;
  /**
   * Whether it was read while nothing was in force. If the platform was just restored from a copy,
   * peers may have a newer content in force under an older version.
   */
  isUnconfirmed?: boolean;
}

/** Reason for which a read of the platform failed. */
export interface SourceError {
  detail: string;
}

/** The documents in force at a daemon; absent before a version has been applied. */
export interface DocumentsInForce {
  [DocumentKind.Configuration]?: ConfigurationDocument;
  [DocumentKind.Fleet]?: FleetDocument;
}

/** Request for one document of the platform. */
export interface ReadRequest {
  document: DocumentKind;
  /** Version that the reader has; only a newer one is returned. */
  afterVersion: number;
  /** Whether that version is unconfirmed; see {@linkcode PublishedDocument.isUnconfirmed}. */
  isUnconfirmed: boolean;
  /** Documents that the reader has, from the platform or from peers; kept current while a read waits. */
  inForce: DocumentsInForce;
  /** Longest wait for a newer version, in milliseconds; zero to return at once. */
  waitMs: number;
}

/** Read-only access to the platform's configuration and instance list. */
export interface DocumentSource {
  /** Whether a read always returns the newest version. */
  readonly isLinearizable: boolean;
  /**
   * Reads a document if a newer version than the reader's is published.
   *
   * @param req See {@linkcode ReadRequest}.
   * @returns The document, `undefined` if there is no newer version, or why the read failed.
   */
  read(req: ReadRequest): Promise<Result<PublishedDocument | undefined, SourceError>>;
}
