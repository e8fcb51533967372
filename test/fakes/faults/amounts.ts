/** Numbers in faults that are either fixed or sampled when the fault is injected. */

/**
 * A fixed number, a number that is uniform in [`from`, `from + spread`), or one of two numbers with equal probability.
 */
export type Amount = number | { from: number; spread: number } | { either: [number, number] };

/** Returns a value of the amount. Draws one random number, or none if the amount is fixed. */
export function sampleAmount(random: () => number, amount: Amount): number {
  if (typeof amount === "number") return amount;
  if ("either" in amount) return random() < 0.5 ? amount.either[0] : amount.either[1];
  return amount.from + random() * amount.spread;
}

/** A fixed count, or an integer that is uniform from 1 to `upTo`, inclusive. */
export type Count = number | { upTo: number };

/** Returns a value of the count. Draws one random number, or none if the count is fixed. */
export function sampleCount(random: () => number, count: Count): number {
  return typeof count === "number" ? count : 1 + Math.floor(random() * count.upTo);
}
