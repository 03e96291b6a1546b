/** Kinds of documents that the platform publishes. */
export enum DocumentKind {
  Configuration = 'configuration',
  Fleet = 'fleet',
}
