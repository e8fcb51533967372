/**
 * Groups the items by key. Groups are in the order of their first items, and the items of a group keep their order. Pure.
 */
export function groupBy<Item>(items: Iterable<Item>, keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}
