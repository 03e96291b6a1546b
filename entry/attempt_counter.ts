import type { AttemptId } from '../contract/mod.ts';

/** Generates the identifiers of the attempts that one incarnation makes. */
export class AttemptCounter {
  readonly #sender: string;
  #sequence = 0;

  /** @param incarnation Incarnation of the sending daemon. */
  constructor(incarnation: string) {
    this.#sender = incarnation;
  }

  /** @returns The identifier of the next attempt, which no other attempt has. */
  next(): AttemptId {
    this.#sequence += 1;
    return { sender: this.#sender, sequence: this.#sequence };
  }
}
