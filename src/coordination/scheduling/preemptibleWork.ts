/** Checks cheaply whether preemption can help a job at all, which spares most cycles the search for victims. */
import type { Job } from "../../bookkeeping/workload.js";
import type { JobView } from "./views.js";

/** Summary of the running jobs that determines which waiting jobs may preempt any of them. */
export interface PreemptibleWork {
  /** Lowest priority of the running jobs; Infinity if none runs. */
  lowestPriority: number;
  /** True if any running job exceeds its team's guaranteed quota. */
  hasBorrowedWork: boolean;
}

/** Summarizes the jobs that have attempts. */
export function summarizePreemptibleWork(
  jobs: Iterable<Job>,
  guaranteedJobs: ReadonlySet<Job>,
): PreemptibleWork {
  let lowestPriority = Infinity;
  let hasBorrowedWork = false;
  for (const job of jobs) {
    if (job.attempts.size === 0) continue;
    lowestPriority = Math.min(lowestPriority, job.spec.priority);
    hasBorrowedWork ||= !guaranteedJobs.has(job);
  }
  return { lowestPriority, hasBorrowedWork };
}

/** Returns false only if no running task may be preempted for the job. */
export function mayPreempt(job: JobView, running: PreemptibleWork): boolean {
  return running.lowestPriority < job.spec.priority || (job.isGuaranteed && running.hasBorrowedWork);
}
