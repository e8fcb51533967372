/** Determines which attempts on a machine may be preempted, and the work lost by stopping them. */
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import { EARLY_START_TASKS, START_OVERDUE_S } from "./queueEntry.js";
import type { VictimView } from "./views.js";

/** An attempt that is stopped within this time after its start does not count as a start for the job's users. */
const EARLY_START_GRACE_MS = 33_000;
/** Cost of stopping a service: the interruption of its users counts as ten minutes of lost work. */
const SERVICE_LOSS_S = 600;
/** Cost of stopping an attempt that is not running yet: only the effort of starting it is lost. */
const UNSTARTED_LOSS_S = 1;
/** Seconds that a restart from a checkpoint repeats or waits for, in addition to saving the checkpoint. */
const RESTART_LOSS_S = 2;

/** Returns the attempts on a machine that may be preempted individually. */
export function victimsOnMachine(machine: Machine): VictimView[] {
  const victims: VictimView[] = [];
  for (const attempt of machine.attempts) {
    const { spec } = attempt.job;
    // Gang members are not preempted individually: stopping one ends the whole gang.
    if (attempt.stop || (spec.kind === "gang" && spec.tasks > 1)) continue;
    victims.push({
      ref: attempt,
      jobId: attempt.job.id,
      team: spec.team,
      priority: spec.priority,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      lossS: (nowMs) => stopLossS(attempt, nowMs),
    });
  }
  return victims;
}

/** Returns the seconds of work lost by stopping the attempt; Infinity if it may not be stopped. */
function stopLossS(attempt: Attempt, nowMs: number): number {
  const { spec } = attempt.job;
  if (isInEarlyStartGrace(attempt.job, nowMs)) return Infinity;
  if (spec.kind === "service") return SERVICE_LOSS_S;
  if (attempt.runningMs === null) return UNSTARTED_LOSS_S;
  if (spec.checkpointS > 0) return spec.saveS + RESTART_LOSS_S;
  return (nowMs - attempt.runningMs) / 1000;
}

/**
 * Returns true if the job is an array whose start was overdue and whose first tasks have just started out of turn.
 * These tasks are not preempted for a while: if they were repeatedly preempted within seconds, a job of the lowest
 * priority would never start from its users' point of view. Pure function.
 */
export function isInEarlyStartGrace(job: Job, nowMs: number): boolean {
  if (job.spec.kind !== "array" || job.doneCount > 0 || job.attempts.size > EARLY_START_TASKS) return false;
  if (nowMs - job.submittedMs < START_OVERDUE_S * 1000) return false;
  for (const { runningMs } of job.attempts)
    if (runningMs !== null && nowMs - runningMs > EARLY_START_GRACE_MS) return false;
  return true;
}
