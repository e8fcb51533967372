/** Classifies jobs and machines as faulty from the failures of their tasks. Pure functions. */
import type { Job, Machine } from "../../bookkeeping/workload.js";

/** A job that failed on more machines than this and succeeded on none is considered broken itself. */
const FAULTY_JOB_MACHINES = 3;
/** Minimum score of a faulty machine; it exceeds the score of any single failure, which may be chance. */
const FAULTY_MACHINE_SCORE = 3;
/** Score of one failure of a job that succeeds on other machines. */
const PROVEN_JOB_SCORE = 2;
/** Score of one failure of a job that is not known to succeed on other machines. */
const UNPROVEN_JOB_SCORE = 1;
/** Minimum number of failing jobs if none of them is known to succeed on other machines. */
const MIN_UNPROVEN_JOBS = 2;

/**
 * Returns true if the job fails on every machine; its failures are not attributed to machines, and its tasks are
 * limited.
 */
export function jobLooksFaulty(job: Job): boolean {
  if (job.failedMachineNames.size <= FAULTY_JOB_MACHINES || job.doneCount > 0) return false;
  for (const { phase, machine } of job.attempts)
    if (phase === "running" && !job.failedMachineNames.has(machine.name)) return false;
  return true;
}

/**
 * Returns true if the machine's failure score marks it as faulty. Failures of jobs that succeed on other machines count
 * double; failures of jobs that fail everywhere are ignored.
 */
export function machineLooksFaulty(machine: Machine, jobs: ReadonlyMap<string, Job>): boolean {
  let score = 0;
  let provenJobs = 0;
  let countedJobs = 0;
  for (const [jobId, failures] of machine.consecutiveFailures) {
    const job = jobs.get(jobId);
    if (job && jobLooksFaulty(job)) continue;
    const isProven = job !== undefined && succeedsElsewhere(job, machine);
    score += failures * (isProven ? PROVEN_JOB_SCORE : UNPROVEN_JOB_SCORE);
    if (isProven) provenJobs++;
    countedJobs++;
  }
  return score >= FAULTY_MACHINE_SCORE && (provenJobs > 0 || countedJobs >= MIN_UNPROVEN_JOBS);
}

function succeedsElsewhere(job: Job, machine: Machine): boolean {
  if (job.doneCount > 0) return true;
  for (const attempt of job.attempts)
    if (attempt.machine !== machine && attempt.phase === "running") return true;
  return false;
}
