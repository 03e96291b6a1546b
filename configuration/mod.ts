/**
 * Versioned documents of the platform: the configuration and the instance list.
 *
 * ```ts
 * import { DocumentKind, DocumentStore } from 'rhubarbkeel';
 *
 * const store = new DocumentStore({ onConfiguration: () => undefined, onFleet: () => undefined });
 * console.assert(store.versionOf(DocumentKind.Configuration) === 0);
 * ```
 *
 * @module
 */
export * from './configuration.ts';
export * from './configuration_schema.ts';
export * from './document_kind.ts';
export * from './document_store.ts';
export * from './document_version.ts';
export * from './fleet_schema.ts';
export * from './outage_grace_period.ts';
export * from './http_source.ts';
export * from './document_source.ts';
export * from './settling_period.ts';
export * from './version_tracker.ts';
export * from './watchers.ts';
