/** Tells from failed tasks whether a job or a machine is at fault. Pure. */
import type { Job, Machine } from "../../bookkeeping/workload.js";

/** A job that has failed on more machines than this and succeeded on none was submitted with a mistake. */
const FAULTY_JOB_MACHINES = 3;
/** A machine is faulty from this score on: one failure may be chance. */
const FAULTY_MACHINE_SCORE = 3;
/** What a failure of a job that runs well on other machines adds to the score, and that of a job not known to. */
const PROVEN_JOB_SCORE = 2;
const UNPROVEN_JOB_SCORE = 1;
/** Without a job that runs well elsewhere, failures of at least so many jobs are needed. */
const MIN_UNPROVEN_JOBS = 2;

/** Does the job fail wherever it starts? Then no machine is to blame, and it gets little room. */
export function jobLooksFaulty(job: Job): boolean {
  if (job.failedMachineNames.size <= FAULTY_JOB_MACHINES || job.doneCount > 0) return false;
  for (const { phase, machine } of job.attempts)
    if (phase === "running" && !job.failedMachineNames.has(machine.name)) return false;
  return true;
}

/** Failures of jobs that run well elsewhere count double, those of jobs that fail everywhere not at all. */
export function machineLooksFaulty(machine: Machine, jobs: ReadonlyMap<string, Job>): boolean {
  let score = 0;
  let provenJobs = 0;
  let countedJobs = 0;
  for (const [jobId, failures] of machine.consecutiveFailures) {
    const job = jobs.get(jobId);
    if (job && jobLooksFaulty(job)) continue;
    const isProven = job !== undefined && runsWellElsewhere(job, machine);
    score += failures * (isProven ? PROVEN_JOB_SCORE : UNPROVEN_JOB_SCORE);
    if (isProven) provenJobs++;
    countedJobs++;
  }
  return score >= FAULTY_MACHINE_SCORE && (provenJobs > 0 || countedJobs >= MIN_UNPROVEN_JOBS);
}

function runsWellElsewhere(job: Job, machine: Machine): boolean {
  if (job.doneCount > 0) return true;
  for (const attempt of job.attempts)
    if (attempt.machine !== machine && attempt.phase === "running") return true;
  return false;
}
