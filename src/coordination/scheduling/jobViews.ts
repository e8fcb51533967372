/** Snapshots of the waiting jobs for the placement of one cycle. */
import type { Job } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";
import { jobLooksFaulty } from "./failureDetection.js";
import { waitTargetLeftS } from "./objectiveTargets.js";
import type { QueueEntry } from "./queueEntry.js";
import type { JobView } from "./views.js";

/** A job that fails wherever it starts has at most this many tasks at once, until one succeeds. */
const FAULTY_JOB_TASKS = 2;
/** An array that has waited long begins with an eighth of its tasks, and no fewer than four. */
const FIRST_TASKS_DIVISOR = 8;
const MIN_FIRST_TASKS = 4;

/** Where moves of consolidation want jobs to start again, by job. */
export type PreferredMachines = ReadonlyMap<string, { machine: string; untilMs: number }>;

/** What a job's snapshot depends on beside its queue entry. */
export interface JobViewContext {
  preferredMachines: PreferredMachines;
  objectives: Objective[];
}

/** The snapshot of an entry whose order of service, fair share and allowance are decided. */
export function jobViewOf(entry: QueueEntry, context: JobViewContext, nowMs: number): JobView {
  const { job } = entry;
  const preferred = context.preferredMachines.get(job.id);
  return {
    spec: job.spec,
    pendingTasks: job.pendingCount,
    taskLimit: taskLimit(entry),
    fairShareTasks: Math.max(0, entry.fairShareTasks - job.attempts.size),
    expectedTaskS: job.spec.kind === "service" ? Infinity : entry.taskS,
    isStarving: entry.isStarving,
    isGuaranteed: entry.isGuaranteed,
    zones: attemptsByZone(job),
    avoidedMachines: avoidedMachines(job, nowMs),
    waitTargetLeftS: waitTargetLeftS(job, context.objectives, nowMs),
    preferredMachine: preferred && preferred.untilMs > nowMs ? preferred.machine : null,
  };
}

function attemptsByZone(job: Job): Map<string, number> {
  const zones = new Map<string, number>();
  for (const { machine } of job.attempts) zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
  return zones;
}

/** Machines that the job still avoids; what it avoids no longer is dropped from the job. */
function avoidedMachines(job: Job, nowMs: number): Set<string> {
  const avoided = new Set<string>();
  for (const [machine, untilMs] of job.avoidedUntilMs) {
    if (untilMs > nowMs) avoided.add(machine);
    else job.avoidedUntilMs.delete(machine);
  }
  return avoided;
}

/** The most tasks to place now: the first of an array that has waited long, or what is left of its allowance. */
function taskLimit(entry: QueueEntry): number {
  const { spec, attempts } = entry.job;
  // It may yet succeed somewhere; until it does, the room is for others.
  if (spec.kind !== "gang" && jobLooksFaulty(entry.job)) return Math.max(0, FAULTY_JOB_TASKS - attempts.size);
  if (spec.kind !== "array") return Infinity;
  if (!entry.isStarving) return Math.max(0, entry.taskLimit - attempts.size);
  const firstTasks = Math.max(MIN_FIRST_TASKS, Math.ceil(spec.tasks / FIRST_TASKS_DIVISOR));
  return Math.min(entry.taskLimit, firstTasks);
}
