import fastJsonPatch, { type Operation } from 'fast-json-patch';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { JsoncDocument, checkDocument, makeFinding, type Finding } from '../finding/mod.ts';
import { Configuration } from '../configuration/mod.ts';
import { ExitCode } from './exit_code.ts';
import type { Output } from './output.ts';
import { readDocument } from './read_document.ts';

const operation = z.looseObject({
  op: z.enum(['add', 'remove', 'replace', 'move', 'copy', 'test']),
  path: z.string(),
});

/** Shape of a patch document: the version it was made for, and a JSON Patch. */
const patchSchema = z.strictObject({ base: z.int().min(1), patch: z.array(operation).min(1) });

/** The next version of a configuration. */
export interface NextVersion {
  version: number;
  /** The document as JSON. */
  text: string;
}

/**
 * Checks a patch against the version that it names and prints the next
 * document; publishing it is the operators' own step.
 *
 * @param configurationFile Path of the version now in force.
 * @param patchFile Path of the patch document.
 * @param output Where results go.
 * @returns How the tool ends.
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
 * @param current The version now in force.
 * @param patch The patch document.
 * @returns The next version, or every finding in either document or in the result.
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
        checkNext(current.file, { ...document, version: version + 1 }),
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
  for (const [index, each] of operations.entries()) {
    const problem = applyOne(document, each);
    if (problem !== undefined) findings.push(makeFinding(patch, ['patch', index], problem));
  }
  return findings.length > 0 ? err(findings) : ok(document);
}

/** Gives the problem, if the operation does not fit the document. */
function applyOne(document: object, each: Operation): string | undefined {
  try {
    fastJsonPatch.applyOperation(document, each, true);
    return undefined;
  } catch (error) {
    const name = error instanceof Error ? (error.message.split('\n')[0] ?? '') : 'failed';
    return `operation "${each.op}" does not fit at "${each.path}": ${name}`;
  }
}

function checkNext(
  file: string,
  document: object & { version: number },
): Result<NextVersion, Finding[]> {
  const text = JSON.stringify(document, null, 2);
  const source = new JsoncDocument(`${file} (version ${document.version})`, text);
  return Configuration.parse(source).map(({ version }) => ({ version, text }));
}
