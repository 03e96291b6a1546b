import { ok, type Result } from 'neverthrow';
import type {
  DocumentSource,
  PublishedDocument,
  ReadRequest,
  SourceError,
} from '../configuration/mod.ts';

/** The platform as one daemon sees it; for a time it shows this daemon nothing new. */
export class WithheldSource implements DocumentSource {
  readonly isLinearizable: boolean;
  readonly #source: DocumentSource;
  readonly #isWithheld: () => boolean;

  /**
   * @param source The platform.
   * @param isWithheld Whether it shows nothing new now.
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
