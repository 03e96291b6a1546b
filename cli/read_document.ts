import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { JsoncDocument, type Finding } from '../finding/mod.ts';

/**
 * Reads a document from a file.
 *
 * @param file Path of a file in JSON with comments.
 * @returns The document, or a finding if the file cannot be read.
 */
export function readDocument(file: string): Result<JsoncDocument, Finding[]> {
  try {
    return ok(new JsoncDocument(file, readFileSync(file, 'utf8')));
  } catch (error) {
    const problem = error instanceof Error ? error.message : 'cannot be read';
    return err([{ place: { file, line: 1, column: 1 }, path: '', problem }]);
  }
}
