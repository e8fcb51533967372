/** Reproducible random choices, and digests of results, for tests on randomly generated snapshots. */
import { createHash } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A pseudorandom source whose sequence depends only on its seed. */
export interface SeededRandom {
  /** Returns an integer, uniform in [0, `bound`). */
  below(bound: number): number;
  /** Returns true with the given probability. */
  chance(probability: number): boolean;
  /** Returns a uniformly chosen element; the list must not be empty. */
  pick<Item>(items: readonly Item[]): Item;
}

/** Creates a source of random numbers for randomly generated snapshots. */
export function seededRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  // Adjacent seeds produce correlated first outputs, so these are discarded.
  for (let i = 0; i < 8; i++) generator.next();
  const fraction = (): number => (generator.next() >>> 0) / 2 ** 32;
  return {
    below: (bound) => Math.floor(fraction() * bound),
    chance: (probability) => fraction() < probability,
    pick: (items) => items[Math.floor(fraction() * items.length)]!,
  };
}

/**
 * Returns a short digest of a result's values, excluding field names, for tests that pin a decision on a large
 * snapshot.
 */
export function digestOf(result: unknown): string {
  return createHash("sha256").update(JSON.stringify(result, valuesOnly)).digest("hex").slice(0, 16);
}

function valuesOnly(_key: string, value: unknown): unknown {
  if (typeof value === "number" && !Number.isFinite(value)) return String(value);
  if (value instanceof Map || value instanceof Set) return [...value];
  return typeof value === "object" && value !== null && !Array.isArray(value) ? Object.values(value) : value;
}
