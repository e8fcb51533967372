/**
 * Targets that the operator's service-level objectives set for a class of jobs. Targets from a job's own deadline are
 * computed by `completionTargetsS`.
 */
import type { Job } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";

/** Between two targets that differ by at least this factor, there is a long time in which no target is near. */
const FAR_APART_FACTOR = 2.5;

/**
 * Returns the longest time in seconds that a "finished" or "wait" objective allows jobs of the class, or Infinity if the
 * class has none. Also returns Infinity if a shorter completion target is near the longest one: jobs that miss the shorter
 * target are scheduled again soon enough to meet the longest.
 */
export function longestTargetS(className: string, objectives: readonly Objective[]): number {
  let longestS = 0;
  for (const { className: objectiveClass, kind, withinS } of objectives) {
    if (objectiveClass === className && (kind === "finished" || kind === "wait"))
      longestS = Math.max(longestS, withinS ?? 0);
  }
  if (longestS === 0) return Infinity;
  return hasNearTarget(className, objectives, longestS) ? Infinity : longestS;
}

/** Returns whether the class has a completion target that is shorter than the longest one but near it. */
function hasNearTarget(className: string, objectives: readonly Objective[], longestS: number): boolean {
  for (const { className: objectiveClass, kind, withinS } of objectives) {
    if (objectiveClass !== className || kind !== "finished" || withinS === null) continue;
    if (withinS < longestS && withinS * FAR_APART_FACTOR > longestS) return true;
  }
  return false;
}

/**
 * Returns the seconds that the job's tasks may still wait for a start without missing the first "wait" objective of their
 * class, or null if the class has none or the job has missed it.
 */
export function waitTargetLeftS(job: Job, objectives: readonly Objective[], nowMs: number): number | null {
  for (const { className, kind, withinS } of objectives) {
    if (kind !== "wait" || className !== job.spec.className || withinS === null) continue;
    const leftS = withinS - (nowMs - job.submittedMs) / 1000;
    return leftS > 0 ? leftS : null;
  }
  return null;
}
