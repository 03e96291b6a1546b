import type { RandomSource } from '../random/mod.ts';

/**
 * Draws random items without replacement.
 *
 * @param items The items to draw from.
 * @param count Number of items to draw.
 * @param random The source of random numbers.
 * @returns At most `count` items, in random order.
 */
export function sample<T>(items: readonly T[], count: number, random: RandomSource): T[] {
  const remaining = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && remaining.length > 0) {
    const index = random.below(remaining.length);
    const [item] = remaining.splice(index, 1);
    if (item !== undefined) drawn.push(item);
  }
  return drawn;
}

/**
 * Finds the item with the lowest cost.
 *
 * @param items The items to compare.
 * @param cost Returns the cost of an item.
 * @returns The first item with the lowest cost; `undefined` if there are no items.
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
