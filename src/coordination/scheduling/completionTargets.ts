/** Completion targets of a job, from its own deadline and the operator's service-level objectives. */
import type { Objective } from "../../settings/platform.js";

/**
 * Returns the times from submission, in seconds and ascending, within which a job should be complete: its own deadline,
 * the multiples of it that its class's "deadline" objectives name, and the times of its class's "finished" objectives.
 * The list is empty for a job without a target. Pure.
 */
export function completionTargetsS(
  className: string,
  deadlineS: number | null,
  objectives: Objective[],
): number[] {
  const targets = new Set<number>();
  if (deadlineS !== null) targets.add(deadlineS);
  for (const objective of objectives) {
    if (objective.className !== className) continue;
    if (objective.kind === "deadline" && deadlineS !== null) targets.add(deadlineS * objective.times);
    if (objective.kind === "finished" && objective.withinS !== null) targets.add(objective.withinS);
  }
  return [...targets].sort((left, right) => left - right);
}
