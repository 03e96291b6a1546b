import fastJsonPatch, { type Operation } from 'fast-json-patch';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { JsoncDocument, checkDocument, makeFinding, type Finding } from '../finding/mod.ts';
import { Configuration } from '../configuration/mod.ts';
import { ExitCode } from './exit_code.ts';
import type { Output } from './output.ts';
import { readDocument } from './read_document.ts';

const operationSchema = z.looseObject({
  op: z.enum(['add', 'remove', 'replace', 'move', 'copy', 'test']),
  path: z.string(),
});

/** Schema of a patch document: the version that it was made for, and a JSON Patch. */
const patchSchema = z.strictObject({
  base: z.int().min(1),
  patch: z.array(operationSchema).min(1),
});

/** The next version of a configuration. */
export interface NextVersion {
  version: number;
  /** The document as JSON. */
  text: string;
}

/**
 * Applies a patch to the version in force and prints the next version, without
 * publishing it.
 *
 * @param configurationFile Path of the version in force.
 * @param patchFile Path of the patch document.
 * @param output Receives the results.
 * @returns The exit code.
 */
export function runPatch(configurationFile: string, patchFile: string, output: Output): ExitCode {
  const next = readDocument(configurationFile).andThen((current) =>
    readDocument(patchFile).andThen((patch) => applyPatch(current, patch)),
  );
  if (next.isErr()) {
    output.printFindings(next.error);
    return ExitCode.Findings;
  }
  output.print(
    { version: next.value.version, document: JSON.parse(next.value.text) as unknown },
    next.value.text,
  );
  return ExitCode.Done;
}

/**
 * Applies a patch to a configuration and checks the result.
 *
 * @param current The version in force.
 * @param patch The patch document.
 * @returns The next version, or all findings in either document or in the result.
 */
export function applyPatch(
  current: JsoncDocument,
  patch: JsoncDocument,
): Result<NextVersion, Finding[]> {
  return Configuration.parse(current).andThen(({ version }) =>
    checkDocument(patch, patchSchema).andThen(({ value }) => {
      if (value.base !== version) {
        const problem = `expected base version ${version}, got ${value.base}`;
        return err([makeFinding(patch, ['base'], problem)]);
      }
      return applyOperations(current, patch, value.patch as Operation[]).andThen((document) =>
        checkNextVersion(current.file, { ...document, version: version + 1 }),
      );
    }),
  );
}

function applyOperations(
  current: JsoncDocument,
  patch: JsoncDocument,
  operations: Operation[],
): Result<object, Finding[]> {
  const document = fastJsonPatch.deepClone(current.value) as object;
  const findings: Finding[] = [];
  for (const [index, operation] of operations.entries()) {
    const problem = applyOperation(document, operation);
    if (problem !== undefined) findings.push(makeFinding(patch, ['patch', index], problem));
  }
  return findings.length > 0 ? err(findings) : ok(document);
}

/** Returns the problem if the operation cannot be applied to the document. */
function applyOperation(document: object, operation: Operation): string | undefined {
  try {
    fastJsonPatch.applyOperation(document, operation, true);
    return undefined;
  } catch (error) {
    const name = error instanceof Error ? (error.message.split('\n')[0] ?? '') : 'failed';
    return `operation "${operation.op}" cannot be applied at "${operation.path}": ${name}`;
  }
}

function checkNextVersion(
  file: string,
  document: object & { version: number },
): Result<NextVersion, Finding[]> {
  const text = JSON.stringify(document, null, 2);
  const source = new JsoncDocument(`${file} (version ${document.version})`, text);
  return Configuration.parse(source).map(({ version }) => ({ version, text }));
}
