/** The regions in which a call may be served, sent and kept. */
export class HomeRegions {
  /** No binding: every region is permitted. */
  static readonly ANYWHERE = new HomeRegions(undefined);
  readonly #names: ReadonlySet<string> | undefined;

  private constructor(names: ReadonlySet<string> | undefined) {
    this.#names = names;
  }

  /**
   * @param names Permitted regions, or `undefined` for all.
   * @returns The home regions.
   */
  static of(names: readonly string[] | undefined): HomeRegions {
    return names ? new HomeRegions(new Set(names)) : HomeRegions.ANYWHERE;
  }

  /** @returns Whether some region is not permitted. */
  get isRestricted(): boolean {
    return this.#names !== undefined;
  }

  /** @returns Whether no region is permitted. */
  get isEmpty(): boolean {
    return this.#names?.size === 0;
  }

  /**
   * @param region Name of a region; `undefined` stands for an unknown one.
   * @returns Whether the call may be there.
   */
  permits(region: string | undefined): boolean {
    if (!this.#names) return true;
    return region !== undefined && this.#names.has(region);
  }

  /**
   * @param other Another binding.
   * @returns The regions that both permit.
   */
  intersect(other: HomeRegions): HomeRegions {
    if (!this.#names) return other;
    const names = [...this.#names].filter((name) => other.permits(name));
    return new HomeRegions(new Set(names));
  }

  /** @returns The permitted regions in order, or `any`. */
  toString(): string {
    return this.#names ? [...this.#names].sort().join(',') : 'any';
  }
}
