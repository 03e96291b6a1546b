import { err, ok, type Result } from 'neverthrow';
import { Pool } from 'undici';
import type {
  SourceError,
  DocumentSource,
  PublishedDocument,
  ReadRequest,
} from './document_source.ts';

/** Time beyond the requested wait after which a read fails, in milliseconds. */
const READ_TIMEOUT_MS = 2_000;
const CONNECTIONS = 2;
/** Largest document that is read, in bytes. */
const DOCUMENT_LIMIT_BYTES = 16_777_216;
/** Header with the version of a document. */
export const VERSION_HEADER = 'document-version';

/** Reads the platform's documents over HTTP. */
export class HttpSource implements DocumentSource {
  readonly isLinearizable = false;
  readonly #pool: Pool;

  /** @param url Origin of the platform's service. */
  constructor(url: string) {
    this.#pool = new Pool(url, {
      connections: CONNECTIONS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: DOCUMENT_LIMIT_BYTES,
    });
  }

  async read(req: ReadRequest): Promise<Result<PublishedDocument | undefined, SourceError>> {
    const { document, afterVersion, waitMs } = req;
    try {
      const res = await this.#pool.request({
        method: 'GET',
        path: `/${document}?after=${afterVersion}&waitMs=${waitMs}`,
        signal: AbortSignal.timeout(waitMs + READ_TIMEOUT_MS),
      });
      const text = await res.body.text();
      if (res.statusCode === 204) return ok(undefined);
      if (res.statusCode !== 200) return err({ detail: `status ${res.statusCode}` });
      return ok({ version: Number(res.headers[VERSION_HEADER]), text });
    } catch (error) {
      return err({ detail: error instanceof Error ? error.message : 'no answer' });
    }
  }

  /** Aborts all reads and closes the connections. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }
}
