import { ok, type Result } from 'neverthrow';
import type {
  DocumentSource,
  PublishedDocument,
  ReadRequest,
  SourceError,
} from '../configuration/mod.ts';

/**
 * The platform as one daemon sees it. While documents are withheld, each read answers that there is
 * none newer, as a healthy but outdated platform would, so that the daemon does not take it for lost.
 */
export class WithholdingSource implements DocumentSource {
  readonly isLinearizable: boolean;
  readonly #source: DocumentSource;
  readonly #isWithheld: () => boolean;

  /**
   * @param source The platform.
   * @param isWithheld Whether documents are withheld from the daemon now.
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
