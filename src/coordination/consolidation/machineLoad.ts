/**
 * The load of a machine, a single number that machines are compared by, and the levels of load. Section 3.3 of the
 * paper divides machines by load into three rings: outer [0, degrad/2), secondary [degrad/2, degrad) and inner [degrad,
 * 1]. This module calls them the levels low, medium and high; `degrad` is the setting `highLoadShare`. The functions
 * are pure.
 */
import type { Resources } from "../../bookkeeping/resources.js";

/** A level of load; the paper's outer, secondary and inner ring. */
export type LoadLevel = "low" | "medium" | "high";

/** Bound on the rounding error of a load, so that a load exactly on the bound of a level belongs to the higher one. */
export const LOAD_TOLERANCE = 1e-9;

/** The load of a machine: the largest share that it uses of the capacity of any one resource. */
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

/** The level of a load: high from `highLoadShare` (the paper's `degrad`), medium from half of it, low below. */
export function loadLevelOf(load: number, highLoadShare: number): LoadLevel {
  if (load < highLoadShare / 2 - LOAD_TOLERANCE) return "low";
  return load < highLoadShare - LOAD_TOLERANCE ? "medium" : "high";
}
