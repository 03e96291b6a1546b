/**
 * Distribution of the platform's documents to all daemons over links.
 *
 * ```ts
 * import { Fleet, rankWatchers } from 'rhubarbkeel';
 *
 * console.assert(rankWatchers(new Fleet(0, []), 'centro-a').length === 0);
 * ```
 *
 * @module
 */
export * from './crash_reports.ts';
export * from './document_distributor.ts';
export * from './reconcile_with_peer.ts';
export * from './watcher_roster.ts';
