/**
 * Findings: problems in a document, collected with their locations and reported together.
 *
 * ```ts
 * import * as z from 'zod';
 * import { JsoncDocument, checkDocument, formatFinding } from 'rhubarbkeel';
 *
 * const source = new JsoncDocument('a.jsonc', '{ "prot": 80 }');
 * const schema = z.strictObject({ port: z.number().optional() });
 * const checked = checkDocument(source, schema);
 * if (checked.isErr()) console.log(checked.error.map(formatFinding).join('\n'));
 * ```
 *
 * @module
 */
export * from './check_document.ts';
export * from './finding.ts';
export * from './jsonc_document.ts';
export * from './suggest_name.ts';
