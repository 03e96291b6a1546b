/** Bounds the memory of kept answers: room is reserved before a call may run. */
export class KeptAnswerBudget {
  readonly #limitBytes: number;
  #usedBytes = 0;

  /** @param limitBytes Bytes of all kept answers and reservations together. */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** @returns Bytes in use. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * @param bytes Bytes to reserve.
   * @returns Whether there was room; if so it is taken.
   */
  tryReserve(bytes: number): boolean {
    if (this.#usedBytes + bytes > this.#limitBytes) return false;
    this.#usedBytes += bytes;
    return true;
  }

  /**
   * Replaces a reservation by what is really kept.
   *
   * @param reservedBytes Bytes reserved before.
   * @param keptBytes Bytes kept from now on; zero to give all back.
   */
  resize(reservedBytes: number, keptBytes: number): void {
    this.#usedBytes += keptBytes - reservedBytes;
  }
}
