import { InstanceStage, type Instance } from './instance.ts';

/** The instances that the platform's list names, in one numbered version. */
export class Fleet {
  /** Version of the list; zero before the first was read. */
  readonly version: number;
  readonly #byId = new Map<string, Instance>();
  readonly #byPool = new Map<string, Instance[]>();

  /**
   * @param version Version of the list.
   * @param instances The instances it names.
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
   * @param id Name of an instance.
   * @returns The instance, if the list names it.
   */
  find(id: string): Instance | undefined {
    return this.#byId.get(id);
  }

  /**
   * @param pool Name of a pool.
   * @returns Its instances that are not leaving.
   */
  activeInstancesOf(pool: string): Instance[] {
    const members = this.#byPool.get(pool) ?? [];
    return members.filter(
      ({ stage }) => stage === InstanceStage.Live || stage === InstanceStage.Lapsed,
    );
  }
}
