/**
 * Resource arithmetic and the placement constraints of a job (rule `wrong_place`). These functions run once for each
 * candidate machine, so they do not allocate.
 */
import { UNKNOWN_ZONE, type JobSpec } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";

/** Upper bound of rounding errors in resource sums; without it, rounding would reject tasks that fit exactly. */
export const ROUNDING_TOLERANCE = 1e-6;

/** A spread job has at most 1/SPREAD_ZONE_DIVISOR of its tasks, rounded up, in one zone. */
const SPREAD_ZONE_DIVISOR = 2;

/** Returns true if one more task of the job fits into the free resources. */
export function fits(spec: JobSpec, free: Resources): boolean {
  return (
    spec.cpus <= free.cpus + ROUNDING_TOLERANCE &&
    spec.gpus <= free.gpus + ROUNDING_TOLERANCE &&
    spec.memoryGb <= free.memoryGb + ROUNDING_TOLERANCE
  );
}

/** Returns how many of the job's tasks fit into the free resources: at least 0, Infinity if they need no resources. */
export function fittingTasks(spec: JobSpec, free: Resources): number {
  return Math.max(
    0,
    Math.min(
      fittingUnits(spec.cpus, free.cpus),
      fittingUnits(spec.gpus, free.gpus),
      fittingUnits(spec.memoryGb, free.memoryGb),
    ),
  );
}

function fittingUnits(needed: number, available: number): number {
  return needed > 0 ? Math.floor((available + ROUNDING_TOLERANCE) / needed) : Infinity;
}

/** Subtracts the resources of `tasks` tasks from `free` in place; a negative count adds them back. */
export function subtractTasks(free: Resources, spec: JobSpec, tasks: number): void {
  free.cpus -= spec.cpus * tasks;
  free.gpus -= spec.gpus * tasks;
  free.memoryGb -= spec.memoryGb * tasks;
}

/** Adds `amount` to `total` in place. */
export function addResources(total: Resources, amount: Resources): void {
  total.cpus += amount.cpus;
  total.gpus += amount.gpus;
  total.memoryGb += amount.memoryGb;
}

/** Checks the job's constraints on machine type, zone and spot instances (rule `wrong_place`). */
export function allowsPlacement(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (!spot || spec.spot)
  );
}

/**
 * Returns how many more tasks the job's `oneZone` and `spread` constraints allow in a zone, given its tasks per zone
 * (rule `wrong_place`). A result of 0 or less means none; Infinity means no limit.
 */
export function zoneTaskCapacity(spec: JobSpec, tasksByZone: Map<string, number>, zone: string): number {
  if (zone === UNKNOWN_ZONE && (spec.oneZone || spec.spread)) return 0;
  if (spec.oneZone)
    for (const [otherZone, tasks] of tasksByZone) if (otherZone !== zone && tasks > 0) return 0;
  if (!spec.spread) return Infinity;
  // The tasks whose zone is not known may be in this one.
  const tasksInZone = (tasksByZone.get(zone) ?? 0) + (tasksByZone.get(UNKNOWN_ZONE) ?? 0);
  return Math.ceil(spec.tasks / SPREAD_ZONE_DIVISOR) - tasksInZone;
}
