import type { Result } from 'neverthrow';
import type { DocumentKind } from './document_kind.ts';

/** One version of a document, as text. */
export interface PublishedDocument {
  version: number;
  text: string;
}

/** Reason for which a read of the platform failed. */
export interface SourceError {
  detail: string;
}

/** Request for one document of the platform. */
export interface ReadRequest {
  document: DocumentKind;
  /** Version that the reader has; only a newer one is returned. */
  afterVersion: number;
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
