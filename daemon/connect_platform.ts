import { HttpSource, type DocumentSource } from '../configuration/mod.ts';
import type { EventLog } from '../event_log/mod.ts';
import { DefaultDialect, type HttpDialect } from '../link/mod.ts';
import { PlatformDialect, StoreClient, StoreSource } from '../platform/mod.ts';
import { PlatformKind, type Settings } from '../settings/mod.ts';
import { wallNow, type TimerService } from '../timer/mod.ts';

/** A document source that holds connections until it is closed. */
export interface ClosableSource extends DocumentSource {
  /** Closes the connections. */
  close(): Promise<void>;
}

/**
 * Makes the document source and the HTTP dialect of the configured platform.
 *
 * @param settings Settings of the daemon.
 * @param log Receives an event for each store item that cannot be read.
 * @param timer The clock.
 * @returns The dialect of the platform's callers and targets, and the source of its documents.
 */
export function connectPlatform(
  { platform, callers, peers }: Settings,
  log: EventLog,
  timer: TimerService,
): { dialect: HttpDialect; source: ClosableSource } {
  const { url, kind, regions, retryPercent } = platform;
  switch (kind) {
    case PlatformKind.Documents:
      return { dialect: new DefaultDialect(), source: new HttpSource(url) };
    case PlatformKind.Store:
      return {
        dialect: new PlatformDialect(),
        source: new StoreSource({
          client: new StoreClient(url),
          log,
          timer,
          wallNow,
          ports: { callers: callers.port, peers: peers.port },
          deployment: { regions, retryPercent },
        }),
      };
  }
}
