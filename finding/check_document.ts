import { err, ok, type Result } from 'neverthrow';
import type { JSONPath } from 'jsonc-parser';
import type { z } from 'zod';
import { compareFindings, type Finding } from './finding.ts';
import { JsoncDocument, formatPath } from './jsonc_document.ts';
import { suggestName } from './suggest_name.ts';

/** A validated value with its source document. */
export interface CheckedDocument<T> {
  value: T;
  source: JsoncDocument;
}

/**
 * Validates a JSON document with comments against a schema.
 *
 * @param source The document.
 * @param schema The schema of its value.
 * @returns The value, or all findings in the order of their locations.
 */
export function checkDocument<S extends z.ZodType>(
  source: JsoncDocument,
  schema: S,
): Result<CheckedDocument<z.infer<S>>, Finding[]> {
  if (source.syntaxFindings.length > 0) return err([...source.syntaxFindings]);
  const parsed = schema.safeParse(source.value, { reportInput: true });
  if (parsed.success) return ok({ value: parsed.data, source });
  const findings = parsed.error.issues.flatMap((issue) => toFindings(source, schema, issue));
  return err(findings.sort(compareFindings));
}

function toFindings(source: JsoncDocument, schema: z.ZodType, issue: z.core.$ZodIssue): Finding[] {
  const path = issue.path.filter((part) => typeof part !== 'symbol');
  if (issue.code !== 'unrecognized_keys') {
    return [makeFinding(source, path, describeIssue(issue))];
  }
  const knownKeys = findKnownKeys(schema, path);
  return issue.keys.map((key) =>
    makeFinding(source, [...path, key], `unknown name "${key}"${suggestName(key, knownKeys)}`),
  );
}

/**
 * Makes a finding at the location of a value.
 *
 * @param source The document.
 * @param path Keys and indices from the root to the value.
 * @param problem Description of the problem.
 * @returns The finding.
 */
export function makeFinding(source: JsoncDocument, path: JSONPath, problem: string): Finding {
  return { place: source.getLocation(path), path: formatPath(path), problem };
}

function describeIssue(issue: z.core.$ZodIssue): string {
  if (issue.code === 'custom') return issue.message;
  const got = issue.input === undefined ? 'nothing' : JSON.stringify(issue.input).slice(0, 80);
  return `${issue.message.replace(/, received .*$/, '')}, got ${got}`;
}

function findKnownKeys(schema: z.ZodType, path: JSONPath): string[] {
  let current: unknown = schema;
  for (const part of path) current = getChildSchema(unwrapSchema(current), part);
  const shape = getShape(unwrapSchema(current));
  return shape ? Object.keys(shape) : [];
}

function getChildSchema(schema: unknown, part: string | number): unknown {
  if (typeof part === 'number') return (schema as { element?: unknown } | undefined)?.element;
  return getShape(schema)?.[part];
}

function unwrapSchema(schema: unknown): unknown {
  const inner = (schema as { _zod?: { def?: { innerType?: unknown } } } | undefined)?._zod?.def
    ?.innerType;
  return inner === undefined ? schema : unwrapSchema(inner);
}

function getShape(schema: unknown): Record<string, unknown> | undefined {
  return (schema as { shape?: Record<string, unknown> } | undefined)?.shape;
}
