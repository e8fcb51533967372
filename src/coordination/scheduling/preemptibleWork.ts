/** Whether anything runs that could be stopped for a job; spares most cycles the search for victims. */
import type { Job } from "../../bookkeeping/workload.js";
import type { JobView } from "./views.js";

/** What running work has in common that decides who may preempt any of it. */
export interface PreemptibleWork {
  /** Infinity: nothing runs. */
  lowestPriority: number;
  /** Some of it runs beyond its team's guarantee. */
  isAnyBorrowing: boolean;
}

/** Sums up the jobs that have attempts. */
export function preemptibleWork(jobs: Iterable<Job>, guaranteedJobs: ReadonlySet<Job>): PreemptibleWork {
  let lowestPriority = Infinity;
  let isAnyBorrowing = false;
  for (const job of jobs) {
    if (job.attempts.size === 0) continue;
    lowestPriority = Math.min(lowestPriority, job.spec.priority);
    isAnyBorrowing ||= !guaranteedJobs.has(job);
  }
  return { lowestPriority, isAnyBorrowing };
}

/** False when certainly nothing runs that may be stopped for the job. */
export function mayPreempt(job: JobView, running: PreemptibleWork): boolean {
  return running.lowestPriority < job.spec.priority || (job.isGuaranteed && running.isAnyBorrowing);
}
