/** Numbers in faults that are either given or drawn at the moment of the fault. */

/** A given number, one drawn evenly from `from` to `from + spread`, or one of two with equal chances. */
export type Amount = number | { from: number; spread: number } | { either: [number, number] };

/** The amount's value; draws at most one random number, and none for a given one. */
export function drawAmount(random: () => number, amount: Amount): number {
  if (typeof amount === "number") return amount;
  if ("either" in amount) return random() < 0.5 ? amount.either[0] : amount.either[1];
  return amount.from + random() * amount.spread;
}

/** A count that is given, or drawn evenly from 1 to `upTo`. */
export type Count = number | { upTo: number };

/** The count's value; draws at most one random number, and none for a given one. */
export function drawCount(random: () => number, count: Count): number {
  return typeof count === "number" ? count : 1 + Math.floor(random() * count.upTo);
}
