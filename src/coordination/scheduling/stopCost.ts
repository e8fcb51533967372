/** What stopping a running attempt would cost, and which attempts of a machine may be stopped at all. */
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import { EARLY_START_TASKS, OVERDUE_S } from "./queueEntry.js";
import type { VictimView } from "./views.js";

/** An attempt that is stopped sooner than this after its start doesn't count as a start to the job's users. */
const START_GRACE_MS = 33_000;
/** Stopping a service interrupts its users: as bad as losing ten minutes of work. */
const SERVICE_LOSS_S = 600;
/** An attempt that doesn't run yet has lost no more than the effort of its start. */
const UNSTARTED_LOSS_S = 1;
/** Seconds of work that a start from a checkpoint repeats or waits for, beside saving it. */
const RESTART_LOSS_S = 2;

/** The attempts on a machine that may be stopped one by one. */
export function victimsOn(machine: Machine): VictimView[] {
  const victims: VictimView[] = [];
  for (const attempt of machine.attempts) {
    const { spec } = attempt.job;
    // A gang is no single victim: stopping one member ends them all.
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

/** Seconds of work that stopping the attempt throws away; Infinity: it may not be stopped. */
function stopLossS(attempt: Attempt, nowMs: number): number {
  const { spec } = attempt.job;
  if (hasJustBegun(attempt.job, nowMs)) return Infinity;
  if (spec.kind === "service") return SERVICE_LOSS_S;
  if (attempt.runningMs === null) return UNSTARTED_LOSS_S;
  if (spec.checkpointS > 0) return spec.saveS + RESTART_LOSS_S;
  return (nowMs - attempt.runningMs) / 1000;
}

/**
 * Has an overdue array just started its first tasks out of turn? They go on for a while: preempted again and again within
 * seconds, a job of the lowest priority would never have started in its users' eyes. Pure.
 */
export function hasJustBegun(job: Job, nowMs: number): boolean {
  if (job.spec.kind !== "array" || job.doneCount > 0 || job.attempts.size > EARLY_START_TASKS) return false;
  if (nowMs - job.submittedMs < OVERDUE_S * 1000) return false;
  for (const { runningMs } of job.attempts)
    if (runningMs !== null && nowMs - runningMs > START_GRACE_MS) return false;
  return true;
}
