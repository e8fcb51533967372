/** Counts of a job's tasks in each zone, which its `oneZone` and `spread` constraints limit (rule `wrong_place`). */
import type { Attempt, Job } from "../../bookkeeping/workload.js";

/** Returns the number of the job's attempts in each zone, without `except`. */
export function attemptsByZone(job: Job, except?: Attempt): Map<string, number> {
  const tasksByZone = new Map<string, number>();
  for (const attempt of job.attempts)
    if (attempt !== except) addZoneTasks(tasksByZone, attempt.machine.zone, 1);
  return tasksByZone;
}

/** Adds tasks to the count of a zone. */
export function addZoneTasks(tasksByZone: Map<string, number>, zone: string, tasks: number): void {
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + tasks);
}
