import { InstanceStage, type Instance } from './instance.ts';

/** One version of the platform's instance list. */
export class Fleet {
  /** Version of the list; zero before a list has been read. */
  readonly version: number;
  readonly #byId = new Map<string, Instance>();
  readonly #byPool = new Map<string, Instance[]>();

  /**
   * @param version Version of the list.
   * @param instances The instances in the list.
   */
  constructor(version: number, instances: readonly Instance[]) {
    this.version = version;
    for (const instance of instances) {
      this.#byId.set(instance.id, instance);
      const members = this.#byPool.get(instance.pool) ?? [];
      members.push(instance);
      this.#byPool.set(instance.pool, members);
    }
  }

  /** @returns All instances. */
  get instances(): Instance[] {
    return [...this.#byId.values()];
  }

  /** @returns Number of instances. */
  get size(): number {
    return this.#byId.size;
  }

  /**
   * Finds an instance.
   *
   * @param id ID of the instance.
   * @returns The instance, if it is listed.
   */
  find(id: string): Instance | undefined {
    return this.#byId.get(id);
  }

  /**
   * @param pool Name of a pool.
   * @returns Its instances that are live or lapsed.
   */
  activeInstancesOf(pool: string): Instance[] {
    const members = this.#byPool.get(pool) ?? [];
    return members.filter(
      ({ stage }) => stage === InstanceStage.Live || stage === InstanceStage.Lapsed,
    );
  }
}
