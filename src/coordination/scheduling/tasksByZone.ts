/** Counts of a job's tasks in each zone, which its `oneZone` and `spread` constraints limit (rule `wrong_place`). */
import type { Attempt, Job } from "../../bookkeeping/workload.js";

/** Returns the number of the job's attempts in each zone. Runs for each waiting job in each cycle. */
export function attemptsByZone(job: Job): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { machine } of job.attempts) counts.set(machine.zone, (counts.get(machine.zone) ?? 0) + 1);
  return counts;
}

/** Returns the number of the other attempts of the attempt's job in each zone. */
export function otherAttemptsByZone({ job, machine }: Attempt): Map<string, number> {
  const counts = attemptsByZone(job);
  addZoneTasks(counts, machine.zone, -1);
  return counts;
}

/** Adds tasks to the count of a zone. */
export function addZoneTasks(tasksByZone: Map<string, number>, zone: string, tasks: number): void {
  tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + tasks);
}
