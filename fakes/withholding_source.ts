import { err, ok, type Result } from 'neverthrow';
import type {
  DocumentSource,
  PublishedDocument,
  ReadRequest,
  SourceError,
} from '../configuration/mod.ts';

/** How the platform treats the reads of one daemon. */
export enum ReadPolicy {
  Serve = 'serve',
  /**
   * Answers that there is no newer version, as a healthy platform that lags would do. The daemon
   * therefore does not take the platform for unavailable.
   */
  Withhold = 'withhold',
  /** Refuses them, while it serves other daemons. */
  Refuse = 'refuse',
}

/** Source that can withhold the platform's documents from one daemon, or refuse its reads. */
export class WithholdingSource implements DocumentSource {
  readonly isLinearizable: boolean;
  readonly #source: DocumentSource;
  readonly #getPolicy: () => ReadPolicy;

  /**
   * @param source The platform.
   * @param getPolicy Returns how the daemon's reads are treated now.
   */
  constructor(source: DocumentSource, getPolicy: () => ReadPolicy) {
    this.isLinearizable = source.isLinearizable;
    this.#source = source;
    this.#getPolicy = getPolicy;
  }

  async read(req: ReadRequest): Promise<Result<PublishedDocument | undefined, SourceError>> {
    const read = await this.#source.read(req);
    switch (this.#getPolicy()) {
      case ReadPolicy.Serve:
        return read;
      case ReadPolicy.Withhold:
        return read.isOk() ? ok(undefined) : read;
      case ReadPolicy.Refuse:
        return err({ detail: 'refused' });
    }
  }
}
