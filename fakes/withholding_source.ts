import { ok, type Result } from 'neverthrow';
import type {
  DocumentSource,
  PublishedDocument,
  ReadRequest,
  SourceError,
} from '../configuration/mod.ts';

/**
 * Source that can withhold the platform's documents from one daemon. While they are withheld, each
 * successful read returns that there is no newer version, as a healthy platform that lags would do.
 * The daemon therefore does not take the platform for unavailable.
 */
export class WithholdingSource implements DocumentSource {
  readonly isLinearizable: boolean;
  readonly #source: DocumentSource;
  readonly #isWithheld: () => boolean;

  /**
   * @param source The platform.
   * @param isWithheld Reports whether documents are withheld from the daemon now.
   */
  constructor(source: DocumentSource, isWithheld: () => boolean) {
    this.isLinearizable = source.isLinearizable;
    this.#source = source;
    this.#isWithheld = isWithheld;
  }

  async read(req: ReadRequest): Promise<Result<PublishedDocument | undefined, SourceError>> {
    const read = await this.#source.read(req);
    return this.#isWithheld() && read.isOk() ? ok(undefined) : read;
  }
}
