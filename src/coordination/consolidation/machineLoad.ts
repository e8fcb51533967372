/**
 * The three rings of the paper's section 3.3: outer [0, degrad/2), secondary [degrad/2, degrad),
 * inner [degrad, 1].
 */
export type LoadLevel = "low" | "medium" | "high";

export interface Capacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** One share compares machines: that of whatever they are fullest in. */
export function loadOf(used: Capacity, total: Capacity): number {
  const share = (a: number, b: number): number => (b > 0 ? a / b : 0);
  return Math.max(
    share(used.cpus, total.cpus),
    share(used.gpus, total.gpus),
    share(used.memoryGb, total.memoryGb),
  );
}

export function loadLevelOf(load: number, degrad: number): LoadLevel {
  // Rounding of sums must not move a machine that stands exactly on a bound.
  if (load < degrad / 2 - 1e-9) return "low";
  return load < degrad - 1e-9 ? "medium" : "high";
}
