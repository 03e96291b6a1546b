import type { Result } from 'neverthrow';
import type { DocumentKind } from './document_kind.ts';

/** One version of a document, as text. */
export interface PublishedDocument {
  version: number;
  text: string;
}

/** Why the platform gave no answer. */
export interface SourceError {
  detail: string;
}

/** What to read from the platform. */
export interface ReadRequest {
  document: DocumentKind;
  /** Version that the reader has; only a newer one is wanted. */
  afterVersion: number;
  /** Time to wait for a newer version, in milliseconds. */
  waitMs: number;
}

/** The platform's configuration service and instance list, which can only be read. */
export interface DocumentSource {
  /** Whether a read gives the newest version for certain. */
  readonly isLinearizable: boolean;
  /**
   * @param req What to read.
   * @returns The document, nothing if there was no newer one, or why there is no answer.
   */
  read(req: ReadRequest): Promise<Result<PublishedDocument | undefined, SourceError>>;
}
