/** Builds the views of waiting jobs that the placement of one cycle works on. */
import type { Job } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";
import { jobLooksFaulty } from "./failureDetection.js";
import { waitTargetLeftS } from "./objectiveTargets.js";
import type { QueueEntry } from "./queueEntry.js";
import { attemptsByZone } from "./tasksByZone.js";
import type { JobView } from "./views.js";

/** A job that looks faulty runs at most this many tasks at once until one of them succeeds. */
const MAX_FAULTY_JOB_TASKS = 2;
/** A starving array first starts one in this many of its tasks. */
const FIRST_TASKS_DIVISOR = 8;
/** A starving array first starts at least this many tasks. */
const MIN_FIRST_TASKS = 4;

/** By job id, the machine that consolidation prefers for the next start, and the steady time at which that expires. */
export type PreferredMachines = ReadonlyMap<string, { machine: string; untilMs: number }>;

/** What a job's view depends on besides its queue entry. */
export interface JobViewContext {
  preferredMachines: PreferredMachines;
  objectives: Objective[];
}

/** Builds the view of a job whose `fairShareTasks` and `taskLimit` the scheduling order has set. */
export function jobViewOf(entry: QueueEntry, context: JobViewContext, nowMs: number): JobView {
  const { job } = entry;
  const preferred = context.preferredMachines.get(job.id);
  return {
    spec: job.spec,
    pendingTasks: job.pendingCount,
    taskLimit: taskLimit(entry),
    fairShareTasks: Math.max(0, entry.fairShareTasks - job.attempts.size),
    expectedTaskRunTimeS: job.spec.kind === "service" ? Infinity : entry.taskRunTimeS,
    isStarving: entry.isStarving,
    isGuaranteed: entry.isGuaranteed,
    tasksByZone: attemptsByZone(job),
    avoidedMachines: avoidedMachines(job, nowMs),
    waitTargetLeftS: waitTargetLeftS(job, context.objectives, nowMs),
    preferredMachine: preferred && preferred.untilMs > nowMs ? preferred.machine : null,
  };
}

/** Returns the names of the machines that the job avoids, and removes the expired ones from the job. */
function avoidedMachines(job: Job, nowMs: number): Set<string> {
  const avoided = new Set<string>();
  for (const [machine, untilMs] of job.avoidedUntilMs) {
    if (untilMs > nowMs) avoided.add(machine);
    else job.avoidedUntilMs.delete(machine);
  }
  return avoided;
}

/**
 * Returns the maximum number of tasks to place in this cycle. Gangs and services have no limit. An array may place what
 * its entry's limit leaves beside its attempts, and a starving one only its first tasks. A job that looks faulty, unless it
 * is a gang, is limited to a few tasks.
 */
function taskLimit(entry: QueueEntry): number {
  const { spec, attempts } = entry.job;
  // A job that has only failed may still succeed on some machine. Until it does, the capacity is left to other jobs.
  if (spec.kind !== "gang" && jobLooksFaulty(entry.job))
    return Math.max(0, MAX_FAULTY_JOB_TASKS - attempts.size);
  if (spec.kind !== "array") return Infinity;
  if (!entry.isStarving) return Math.max(0, entry.taskLimit - attempts.size);
  const firstTasks = Math.max(MIN_FIRST_TASKS, Math.ceil(spec.tasks / FIRST_TASKS_DIVISOR));
  return Math.min(entry.taskLimit, firstTasks);
}
