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
import type { Finding, Place } from './finding.ts';

interface Parsed {
  root: Node | undefined;
  errors: readonly ParseError[];
}

/**
 * A JSON document with comments, with the place of each of its values. Plain
 * JSON takes a faster way; its places are worked out when first asked for.
 */
export class JsoncDocument {
  readonly file: string;
  /** Syntax errors, in order of place. */
  readonly syntaxFindings: readonly Finding[];
  /** The document's value; `undefined` if it is empty. */
  readonly value: unknown;
  readonly #text: string;
  #parsed: Parsed | undefined;

  /**
   * @param file Name used in findings.
   * @param text JSON, in which comments and trailing commas are allowed.
   */
  constructor(file: string, text: string) {
    this.file = file;
    this.#text = text;
    const plain = parsePlain(text);
    if (plain.isOk()) {
      this.value = plain.value;
      this.syntaxFindings = [];
      return;
    }
    const { root, errors } = this.#parse();
    this.value = root ? (getNodeValue(root) as unknown) : undefined;
    this.syntaxFindings = errors.map((error) => ({
      place: this.#placeAt(error.offset),
      path: '',
      problem: `invalid JSON: ${printParseErrorCode(error.error)}`,
    }));
  }

  /**
   * @param path Keys and indices from the root; a missing tail falls back to its parent.
   * @returns The place of the value, or of the nearest parent that exists.
   */
  placeOf(path: JSONPath): Place {
    const { root } = this.#parse();
    for (let length = path.length; length > 0; length -= 1) {
      const node = root && findNodeAtLocation(root, path.slice(0, length));
      if (node) return this.#placeAt(keyOffset(node));
    }
    return this.#placeAt(root?.offset ?? 0);
  }

  #parse(): Parsed {
    if (this.#parsed) return this.#parsed;
    const errors: ParseError[] = [];
    const root = parseTree(this.#text, errors, { allowTrailingComma: true });
    this.#parsed = { root, errors };
    return this.#parsed;
  }

  #placeAt(offset: number): Place {
    const before = this.#text.slice(0, offset);
    const lineStart = before.lastIndexOf('\n') + 1;
    const line = before.split('\n').length;
    return { file: this.file, line, column: offset - lineStart + 1 };
  }
}

function parsePlain(text: string): Result<unknown, undefined> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(undefined);
  }
}

function keyOffset(node: Node): number {
  return node.parent?.type === 'property' ? node.parent.offset : node.offset;
}

/**
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
