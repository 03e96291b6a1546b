import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type JSONPath,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import type { Finding, Place } from './finding.ts';

/** A JSON document with comments, with the place of each of its values. */
export class SourceDocument {
  readonly file: string;
  /** Syntax errors, in order of place. */
  readonly syntaxFindings: readonly Finding[];
  /** The document's value; `undefined` if it is empty. */
  readonly value: unknown;
  readonly #text: string;
  readonly #root: Node | undefined;

  /**
   * @param file Name used in findings.
   * @param text JSON, in which comments and trailing commas are allowed.
   */
  constructor(file: string, text: string) {
    const errors: ParseError[] = [];
    this.file = file;
    this.#text = text;
    this.#root = parseTree(text, errors, { allowTrailingComma: true });
    this.value = this.#root ? (getNodeValue(this.#root) as unknown) : undefined;
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
    for (let length = path.length; length > 0; length -= 1) {
      const node = this.#root && findNodeAtLocation(this.#root, path.slice(0, length));
      if (node) return this.#placeAt(keyOffset(node));
    }
    return this.#placeAt(this.#root?.offset ?? 0);
  }

  #placeAt(offset: number): Place {
    const before = this.#text.slice(0, offset);
    const lineStart = before.lastIndexOf('\n') + 1;
    const line = before.split('\n').length;
    return { file: this.file, line, column: offset - lineStart + 1 };
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
