import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from './random_source.ts';

/** A {@linkcode RandomSource} that uses a seeded xoroshiro128+ generator. */
export class SeededRandom implements RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /** @param seed Any integer. */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  below(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }
}
