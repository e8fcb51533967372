import { createHash } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws that are the same on each run for the same seed. */
export interface SeededRandom {
  /** A whole number from 0 up to, but not including, `bound`. */
  below(bound: number): number;
  /** True with this probability. */
  chance(probability: number): boolean;
  pick<Item>(items: readonly Item[]): Item;
}

/** A source of draws for randomly built snapshots. */
export function seededRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  // The first numbers are much alike for seeds that are near each other.
  for (let i = 0; i < 8; i++) generator.next();
  const fraction = (): number => (generator.next() >>> 0) / 2 ** 32;
  return {
    below: (bound) => Math.floor(fraction() * bound),
    chance: (probability) => fraction() < probability,
    pick: (items) => items[Math.floor(fraction() * items.length)]!,
  };
}

/** A short digest of a result's values, without the names of fields, for tests that pin a decision on a large snapshot. */
export function digestOf(result: unknown): string {
  return createHash("sha256").update(JSON.stringify(result, valuesOnly)).digest("hex").slice(0, 16);
}

function valuesOnly(_key: string, value: unknown): unknown {
  if (typeof value === "number" && !Number.isFinite(value)) return String(value);
  if (value instanceof Map || value instanceof Set) return [...value];
  return typeof value === "object" && value !== null && !Array.isArray(value) ? Object.values(value) : value;
}
