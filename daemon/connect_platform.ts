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

/** The configured platform, as the daemon uses it. */
export interface PlatformConnection {
  /** Dialect of the platform's callers and targets. */
  dialect: HttpDialect;
  /** Source of its documents. */
  source: ClosableSource;
  /**
   * Shortest time from the end of a target until another one may get its address, in milliseconds;
   * infinite if addresses are not reused.
   */
  addressReuseMs: number;
}

/**
 * Makes the document source and the HTTP dialect of the configured platform.
 *
 * @param settings Settings of the daemon.
 * @param log Receives an event for each store item that cannot be read.
 * @param timer The clock.
 * @returns See {@linkcode PlatformConnection}.
 */
export function connectPlatform(
  { platform, callers, peers }: Settings,
  log: EventLog,
  timer: TimerService,
): PlatformConnection {
  const { url, kind, regions, retryPercent, bounds } = platform;
  switch (kind) {
    case PlatformKind.Documents:
      return {
        dialect: new DefaultDialect(),
        source: new HttpSource(url),
        addressReuseMs: bounds.addressReuseMs ?? Infinity,
      };
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
        addressReuseMs: bounds.addressReuseMs ?? 0,
      };
  }
}
