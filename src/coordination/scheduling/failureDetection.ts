import type { Job, Machine } from "../../bookkeeping/workload.js";

/** A job that has failed on more machines than this and succeeded on none was submitted with a mistake. */
const MISTAKE_MACHINES = 3;

/** Does the job fail wherever it starts? Then no machine is to blame, and it gets little room. Pure. */
export function jobLooksFaulty(job: Job): boolean {
  return (
    job.failedOn.size > MISTAKE_MACHINES &&
    job.doneCount === 0 &&
    ![...job.attempts].some((a) => a.phase === "running" && !job.failedOn.has(a.machine.name))
  );
}

/** Failures of jobs that run well elsewhere count double, those of jobs that fail everywhere not at all. Pure. */
export function machineLooksFaulty(machine: Machine, jobs: ReadonlyMap<string, Job>): boolean {
  let score = 0;
  let proven = 0;
  let counted = 0;
  for (const [id, n] of machine.consecutiveFailures) {
    const job = jobs.get(id);
    if (job && jobLooksFaulty(job)) continue;
    const well =
      job !== undefined &&
      (job.doneCount > 0 || [...job.attempts].some((a) => a.machine !== machine && a.phase === "running"));
    score += well ? 2 * n : n;
    if (well) proven++;
    counted++;
  }
  return score >= 3 && (proven > 0 || counted >= 2);
}
