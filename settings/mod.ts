/**
 * Settings of a daemon, in JSON with comments.
 *
 * ```ts
 * import { parseSettings } from 'rhubarbkeel';
 *
 * console.assert(parseSettings('empty.jsonc', '{}').isErr());
 * ```
 *
 * @module
 */
export * from './reload.ts';
export * from './settings.ts';
