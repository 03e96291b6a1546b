import {
  DocumentStore,
  OfferResult,
  parseVersion,
  type DocumentSource,
  type OfferedDocument,
} from '../configuration/mod.ts';

/** The documents in force, and the platform from which they are read. */
export interface ReconcileOptions {
  store: DocumentStore;
  platform: DocumentSource;
}

/**
 * Returns whether a peer's document has to be reconciled with an unconfirmed one of a newer
 * revision: the peer is in the period after a restore, and may have a newer content in force.
 *
 * @param offered The peer's document.
 * @param store The documents in force.
 * @returns Whether it has to be reconciled.
 */
export function needsReconciliation(
  { document, version, base }: OfferedDocument,
  store: DocumentStore,
): boolean {
  const inForce = store.versionOf(document);
  if (!store.isUnconfirmed(document) || base !== 0 || version >= inForce) return false;
  const { era, isProvisional } = parseVersion(version);
  return isProvisional && era === parseVersion(inForce).era;
}

/**
 * Reads a document again as if the peer's were in force, which then is not undone.
 *
 * @param offered The peer's document, complete.
 * @param options See {@linkcode ReconcileOptions}.
 * @returns The document to offer to the store; undefined if the peer's is invalid or the platform
 * does not answer.
 */
export async function reconcileWithPeer(
  offered: OfferedDocument,
  { store, platform }: ReconcileOptions,
): Promise<OfferedDocument | undefined> {
  const { document, version: afterVersion } = offered;
  const peer = new DocumentStore({ onConfiguration: () => undefined, onFleet: () => undefined });
  if (peer.offer(offered) !== OfferResult.Applied) return undefined;
  const inForce = { ...store.inForce, ...peer.inForce };
  const req = { document, afterVersion, isUnconfirmed: false, inForce, waitMs: 0 };
  const read = await platform.read(req);
  if (read.isErr() || !read.value) return undefined;
  return { document, base: 0, baseDigest: '', ...read.value };
}
