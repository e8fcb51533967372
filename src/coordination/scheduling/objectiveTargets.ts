/** What the operator's objectives ask of a job's class. A job's own deadline counts in `completionTargetsS` of the queue. */
import type { Job } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";

/** Targets at least this many times apart leave a long time in which no target drives the job. */
const FAR_APART_FACTOR = 2.5;

/**
 * The longest that the operator wants anything of the class to take; Infinity without objectives. Infinity as well where
 * a tighter target is not far from the longest: jobs that missed it are tried again soon enough for the next.
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

/** Does the class have a target for its end that is tighter than the longest, but not far from it? */
function hasNearTarget(className: string, objectives: readonly Objective[], longestS: number): boolean {
  for (const { className: objectiveClass, kind, withinS } of objectives) {
    if (objectiveClass !== className || kind !== "finished" || withinS === null) continue;
    if (withinS < longestS && withinS * FAR_APART_FACTOR > longestS) return true;
  }
  return false;
}

/**
 * Seconds that the job's tasks may still wait for a start without missing the first wait objective of their class; null:
 * there is none, or it is missed already.
 */
export function waitTargetLeftS(job: Job, objectives: readonly Objective[], nowMs: number): number | null {
  for (const { className, kind, withinS } of objectives) {
    if (kind !== "wait" || className !== job.spec.className || withinS === null) continue;
    const leftS = withinS - (nowMs - job.submittedMs) / 1000;
    return leftS > 0 ? leftS : null;
  }
  return null;
}
