/** Limits the memory used for kept answers. Memory is reserved before a call may execute. */
export class KeptAnswerBudget {
  readonly #limitBytes: number;
  #usedBytes = 0;

  /** @param limitBytes Limit for all kept answers and reservations together, in bytes. */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** @returns Size of all kept answers and reservations, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Reserves memory if enough is left.
   *
   * @param bytes Size of the reservation, in bytes.
   * @returns Whether the memory was reserved.
   */
  tryReserve(bytes: number): boolean {
    if (this.#usedBytes + bytes > this.#limitBytes) return false;
    this.#usedBytes += bytes;
    return true;
  }

  /**
   * Changes the size of a reservation, for example to that of the answer that is kept.
   *
   * @param reservedBytes Previous size, in bytes.
   * @param keptBytes New size, in bytes; zero releases the reservation.
   */
  resize(reservedBytes: number, keptBytes: number): void {
    this.#usedBytes += keptBytes - reservedBytes;
  }
}
