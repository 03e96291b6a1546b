import type { RandomSource } from '../random/mod.ts';

/**
 * Draws distinct items at random.
 *
 * @param items The items to draw from.
 * @param count Number of items to draw.
 * @param random The source of random numbers.
 * @returns At most `count` items, in random order.
 */
export function sample<T>(items: readonly T[], count: number, random: RandomSource): T[] {
  const pool = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && pool.length > 0) {
    const index = random.below(pool.length);
    const [item] = pool.splice(index, 1);
    if (item !== undefined) drawn.push(item);
  }
  return drawn;
}

/**
 * @param items The items to compare.
 * @param cost Cost of an item.
 * @returns The item of least cost; of equal ones the first.
 */
export function findCheapest<T>(items: readonly T[], cost: (item: T) => number): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const itemCost = cost(item);
    if (best !== undefined && itemCost >= bestCost) continue;
    best = item;
    bestCost = itemCost;
  }
  return best;
}
