/** The regions in which a call may be routed, executed and stored. */
export class HomeRegions {
  /** No restriction: every region is permitted. */
  static readonly ANYWHERE = new HomeRegions(undefined);
  readonly #names: ReadonlySet<string> | undefined;

  private constructor(names: ReadonlySet<string> | undefined) {
    this.#names = names;
  }

  /**
   * @param names Permitted regions, or `undefined` for all.
   * @returns Home regions with these names.
   */
  static of(names: readonly string[] | undefined): HomeRegions {
    return names ? new HomeRegions(new Set(names)) : HomeRegions.ANYWHERE;
  }

  /** @returns Whether the permitted regions are restricted. */
  get isRestricted(): boolean {
    return this.#names !== undefined;
  }

  /** @returns Whether no region is permitted. */
  get isEmpty(): boolean {
    return this.#names?.size === 0;
  }

  /**
   * @param region Name of a region; `undefined` stands for an unknown one.
   * @returns Whether the region is permitted.
   */
  permits(region: string | undefined): boolean {
    if (!this.#names) return true;
    return region !== undefined && this.#names.has(region);
  }

  /**
   * Returns the intersection with other home regions.
   *
   * @param other The other home regions.
   * @returns The regions that both permit.
   */
  intersect(other: HomeRegions): HomeRegions {
    if (!this.#names) return other;
    const names = [...this.#names].filter((name) => other.permits(name));
    return new HomeRegions(new Set(names));
  }

  /** @returns The permitted regions in alphabetical order, or `any`. */
  toString(): string {
    return this.#names ? [...this.#names].sort().join(',') : 'any';
  }
}
