/**
 * Machines are compared by one number, their load. The paper's section 3.3 divides them by it into three rings around the
 * full machines: outer [0, degrad/2), secondary [degrad/2, degrad) and inner [degrad, 1]; here they are called levels,
 * and `degrad` is the setting `highLoadShare`. Pure.
 */
import type { Resources } from "../../bookkeeping/resources.js";

/** The paper's rings: outer, secondary and inner. */
export type LoadLevel = "low" | "medium" | "high";

/** Sums are off by less than this: rounding must not move a machine that is exactly on a bound. */
export const LOAD_TOLERANCE = 1e-9;

/** The share of its capacity that a machine uses of the resource of which it uses the largest share. */
export function loadOf(used: Resources, capacity: Resources): number {
  return Math.max(
    shareOf(used.cpus, capacity.cpus),
    shareOf(used.gpus, capacity.gpus),
    shareOf(used.memoryGb, capacity.memoryGb),
  );
}

function shareOf(used: number, capacity: number): number {
  return capacity > 0 ? used / capacity : 0;
}

/** The level of a load; `highLoadShare`, the paper's `degrad`, is where the high level begins. */
export function loadLevelOf(load: number, highLoadShare: number): LoadLevel {
  if (load < highLoadShare / 2 - LOAD_TOLERANCE) return "low";
  return load < highLoadShare - LOAD_TOLERANCE ? "medium" : "high";
}
