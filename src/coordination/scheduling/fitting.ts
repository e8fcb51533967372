/**
 * What fits where: arithmetic on resources, and the placement rules that a job brings with it (rule `wrong_place`).
 * All of it runs once for each candidate, so nothing here allocates.
 */
import type { JobSpec } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";

/** Sums and differences of resources are off by less than this; without it, rounding would reject what fits exactly. */
export const ROUNDING_TOLERANCE = 1e-6;

/** A job that is spread has at most every so-many-th of its tasks in one zone. */
const SPREAD_ZONE_DIVISOR = 2;

/** Does one more task of the job fit into the free resources? */
export function fits(spec: JobSpec, free: Resources): boolean {
  return (
    spec.cpus <= free.cpus + ROUNDING_TOLERANCE &&
    spec.gpus <= free.gpus + ROUNDING_TOLERANCE &&
    spec.memoryGb <= free.memoryGb + ROUNDING_TOLERANCE
  );
}

/** The number of the job's tasks that fit into the free resources; never negative, Infinity for a job that needs none. */
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

/** Takes what that many tasks of the job need out of `free`; a negative count puts it back. */
export function subtractTasks(free: Resources, spec: JobSpec, tasks: number): void {
  free.cpus -= spec.cpus * tasks;
  free.gpus -= spec.gpus * tasks;
  free.memoryGb -= spec.memoryGb * tasks;
}

/** Adds `amount` to `total`, in place. */
export function addResources(total: Resources, amount: Resources): void {
  total.cpus += amount.cpus;
  total.gpus += amount.gpus;
  total.memoryGb += amount.memoryGb;
}

/** Machine type, zone and purchase kind that the job itself asks for (rule `wrong_place`). */
export function allowsPlacement(spec: JobSpec, type: string, zone: string, spot: boolean): boolean {
  return (
    (spec.types === null || spec.types.includes(type)) &&
    (spec.zone === null || spec.zone === zone) &&
    (!spot || spec.spot)
  );
}

/**
 * The number of the job's tasks that a zone may still take, given how many others may be in which zone (rule
 * `wrong_place`). Not positive: none.
 */
export function zoneRoom(spec: JobSpec, tasksByZone: Map<string, number>, zone: string): number {
  if (spec.oneZone)
    for (const [otherZone, tasks] of tasksByZone) if (otherZone !== zone && tasks > 0) return 0;
  if (!spec.spread) return Infinity;
  return Math.ceil(spec.tasks / SPREAD_ZONE_DIVISOR) - (tasksByZone.get(zone) ?? 0);
}
