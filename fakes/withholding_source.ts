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

/** Options of {@linkcode WithholdingSource}. */
export interface WithholdingSourceOptions {
  /** @returns How the daemon's reads are treated now. */
  getPolicy: () => ReadPolicy;
  /** Waits until the daemon's process is not paused. */
  whenRunning: () => Promise<void>;
}

/** Source that can withhold the platform's documents from one daemon, or refuse its reads. */
export class WithholdingSource implements DocumentSource {
  readonly isLinearizable: boolean;
  readonly #source: DocumentSource;
  readonly #options: WithholdingSourceOptions;

  /**
   * @param source The platform.
   * @param options See {@linkcode WithholdingSourceOptions}.
   */
  constructor(source: DocumentSource, options: WithholdingSourceOptions) {
    this.isLinearizable = source.isLinearizable;
    this.#source = source;
    this.#options = options;
  }

  async read(req: ReadRequest): Promise<Result<PublishedDocument | undefined, SourceError>> {
    const read = await this.#source.read(req);
    await this.#options.whenRunning();
    switch (this.#options.getPolicy()) {
      case ReadPolicy.Serve:
        return read;
      case ReadPolicy.Withhold:
        return read.isOk() ? ok(undefined) : read;
      case ReadPolicy.Refuse:
        return err({ detail: 'refused' });
    }
  }
}
