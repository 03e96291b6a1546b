import { err, ok, type Result } from 'neverthrow';
import type { JSONPath } from 'jsonc-parser';
import type { z } from 'zod';
import { compareFindings, type Finding } from './finding.ts';
import { JsoncDocument, formatPath } from './jsonc_document.ts';
import { suggestName } from './suggest_name.ts';

/** A value that matched its schema, with the document it came from. */
export interface CheckedDocument<T> {
  value: T;
  source: JsoncDocument;
}

/**
 * Parses a JSON document with comments and checks it against a schema.
 *
 * @param source The parsed document.
 * @param schema The shape to check for.
 * @returns The value, or every finding with its place.
 */
export function checkDocument<S extends z.ZodType>(
  source: JsoncDocument,
  schema: S,
): Result<CheckedDocument<z.infer<S>>, Finding[]> {
  if (source.syntaxFindings.length > 0) return err([...source.syntaxFindings]);
  const parsed = schema.safeParse(source.value, { reportInput: true });
  if (parsed.success) return ok({ value: parsed.data, source });
  const findings = parsed.error.issues.flatMap((issue) => issueFindings(source, schema, issue));
  return err(findings.sort(compareFindings));
}

function issueFindings(
  source: JsoncDocument,
  schema: z.ZodType,
  issue: z.core.$ZodIssue,
): Finding[] {
  const path = issue.path.filter((part) => typeof part !== 'symbol');
  if (issue.code !== 'unrecognized_keys') {
    return [makeFinding(source, path, describeIssue(issue))];
  }
  const known = knownKeys(schema, path);
  return issue.keys.map((key) =>
    makeFinding(source, [...path, key], `unknown name "${key}"${suggestName(key, known)}`),
  );
}

/**
 * @param source The document.
 * @param path Keys and indices of the value in question.
 * @param problem What is wrong.
 * @returns The finding with its place filled in.
 */
export function makeFinding(source: JsoncDocument, path: JSONPath, problem: string): Finding {
  return { place: source.placeOf(path), path: formatPath(path), problem };
}

function describeIssue(issue: z.core.$ZodIssue): string {
  if (issue.code === 'custom') return issue.message;
  const got = issue.input === undefined ? 'nothing' : JSON.stringify(issue.input).slice(0, 80);
  return `${issue.message.replace(/, received .*$/, '')}, got ${got}`;
}

function knownKeys(schema: z.ZodType, path: JSONPath): string[] {
  let current: unknown = schema;
  for (const part of path) current = childSchema(unwrap(current), part);
  const shape = shapeOf(unwrap(current));
  return shape ? Object.keys(shape) : [];
}

function childSchema(schema: unknown, part: string | number): unknown {
  if (typeof part === 'number') return (schema as { element?: unknown } | undefined)?.element;
  return shapeOf(schema)?.[part];
}

function unwrap(schema: unknown): unknown {
  const inner = (schema as { _zod?: { def?: { innerType?: unknown } } } | undefined)?._zod?.def
    ?.innerType;
  return inner === undefined ? schema : unwrap(inner);
}

function shapeOf(schema: unknown): Record<string, unknown> | undefined {
  return (schema as { shape?: Record<string, unknown> } | undefined)?.shape;
}
