import type { AttemptId } from '../contract/mod.ts';

/** Numbers the attempts of one incarnation. */
export class AttemptCounter {
  readonly #sender: string;
  #sequence = 0;

  /** @param incarnation Incarnation of the sending daemon. */
  constructor(incarnation: string) {
    this.#sender = incarnation;
  }

  /** @returns An identifier that no other attempt has. */
  next(): AttemptId {
    this.#sequence += 1;
    return { sender: this.#sender, sequence: this.#sequence };
  }
}
