import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type JSONPath,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import { err, ok, type Result } from 'neverthrow';
import type { Finding, SourceLocation } from './finding.ts';

interface ParseResult {
  root: Node | undefined;
  errors: readonly ParseError[];
}

/**
 * A JSON document with comments that can locate its values. Uses the faster
 * `JSON.parse` for plain JSON, and computes locations only when they are needed.
 */
export class JsoncDocument {
  readonly file: string;
  /** Syntax errors, in the order of their locations. */
  readonly syntaxFindings: readonly Finding[];
  /** The document's value; `undefined` if it is empty. */
  readonly value: unknown;
  readonly #text: string;
  #parsed: ParseResult | undefined;

  /**
   * @param file Name of the document in findings.
   * @param text JSON, in which comments and trailing commas are allowed.
   */
  constructor(file: string, text: string) {
    this.file = file;
    this.#text = text;
    const plain = parsePlainJson(text);
    if (plain.isOk()) {
      this.value = plain.value;
      this.syntaxFindings = [];
      return;
    }
    const { root, errors } = this.#parse();
    this.value = root ? (getNodeValue(root) as unknown) : undefined;
    this.syntaxFindings = errors.map((error) => ({
      place: this.#getLocationAtOffset(error.offset),
      path: '',
      problem: `invalid JSON: ${printParseErrorCode(error.error)}`,
    }));
  }

  /**
   * Returns the location of a value, which starts at its key if it is a property.
   *
   * @param path Keys and indices from the root.
   * @returns The location of the value, or of its nearest existing parent.
   */
  getLocation(path: JSONPath): SourceLocation {
    const { root } = this.#parse();
    for (let length = path.length; length > 0; length -= 1) {
      const node = root && findNodeAtLocation(root, path.slice(0, length));
      if (node) return this.#getLocationAtOffset(findStartOffset(node));
    }
    return this.#getLocationAtOffset(root?.offset ?? 0);
  }

  #parse(): ParseResult {
    if (this.#parsed) return this.#parsed;
    const errors: ParseError[] = [];
    const root = parseTree(this.#text, errors, { allowTrailingComma: true });
    this.#parsed = { root, errors };
    return this.#parsed;
  }

  #getLocationAtOffset(offset: number): SourceLocation {
    const before = this.#text.slice(0, offset);
    const lineStart = before.lastIndexOf('\n') + 1;
    const line = before.split('\n').length;
    return { file: this.file, line, column: offset - lineStart + 1 };
  }
}

function parsePlainJson(text: string): Result<unknown, undefined> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(undefined);
  }
}

function findStartOffset(node: Node): number {
  return node.parent?.type === 'property' ? node.parent.offset : node.offset;
}

/**
 * Formats the path of a value.
 *
 * @param path Keys and indices from the root.
 * @returns The path as text, such as `routes[2].pool`.
 */
export function formatPath(path: JSONPath): string {
  let text = '';
  for (const part of path) {
    if (typeof part === 'number') text += `[${part}]`;
    else text += text === '' ? part : `.${part}`;
  }
  return text;
}
