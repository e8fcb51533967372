/** By when a job should be done: from its own deadline and the operators' service-level objectives. */
import type { Objective } from "../../settings/platform.js";

/**
 * Seconds from submission within which a job should be complete, in rising order: its own deadline, and what its class's
 * service-level objectives make of it. Empty: it has no target. Pure.
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
