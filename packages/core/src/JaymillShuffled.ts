import type { Random } from './ports/JaymillRandom.js'

/**
 * Orders items at random.
 *
 * @param items - The items.
 * @param random - Source of randomness; one number is drawn for each item, in the given order.
 * @returns The items in another order.
 */
export function shuffled<Item> (items: readonly Item[], random: Random): Item[] {
  return items.map(item => ({ item, key: random.next() })).sort((a, b) => a.key - b.key).map(({ item }) => item)
}
