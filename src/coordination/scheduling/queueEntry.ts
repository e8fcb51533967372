/** The attributes of a waiting job that determine its scheduling order in one cycle. */
import type { Job } from "../../bookkeeping/workload.js";

/** The number of tasks that a job with an overdue start may run ahead of jobs of higher priority. */
export const EARLY_START_TASKS = 2;

/**
 * Seconds from submission after which the start of an array is overdue. It leaves time to start even the largest jobs
 * within four minutes, whatever their priority.
 */
export const START_OVERDUE_S = 150;

/** A job with tasks to place, as the scheduling order of one cycle sees it. */
export interface QueueEntry {
  job: Job;
  id: string;
  priority: number;
  /** Whether the job falls within its team's guaranteed quota. */
  isGuaranteed: boolean;
  /** Whether the job competes for GPUs; other jobs compete for CPUs. */
  needsGpus: boolean;
  /** Whether the job has waited so long without a start that it precedes the other jobs of its priority. */
  isStarving: boolean;
  /** Whether the job has waited so long without a start that its first tasks precede jobs of higher priority. */
  isStartOverdue: boolean;
  /** Whether most of the time that its class's longest objective allows has passed since the job's submission. */
  isLate: boolean;
  /**
   * The number of tasks that may run before its competitors have their fair share of the capacity; Infinity for no limit.
   * Set by `schedulingOrder`.
   */
  fairShareTasks: number;
  /**
   * The number of tasks that may run at all, which limits late jobs and early starts; Infinity for no limit. Set by
   * `schedulingOrder`.
   */
  taskLimit: number;
  /** Seconds from now until each of its completion targets, ascending; negative for a missed target. */
  timeToTargetsS: number[];
  /** Expected run time of one task, in seconds. */
  taskRunTimeS: number;
  /** Number of tasks that are not done. */
  unfinishedTasks: number;
  /** CPUs (or GPUs, for a job that needs them) that all its unfinished tasks would use at once. */
  demand: number;
  /** Expected CPU seconds (or GPU seconds, for a job that needs them) until all its tasks are done. */
  remainingWork: number;
  /** Unix time in milliseconds at which the job was accepted. Orders entries that are equal otherwise. */
  acceptedAtMs: number;
}

/** Returns the GPUs, or the CPUs unless `needsGpus`, that a team may use at most. */
export type TeamLimit = (team: string, needsGpus: boolean) => number;

/** Compares by time of acceptance, earliest first, and then by id. */
export function byArrival(left: QueueEntry, right: QueueEntry): number {
  return left.acceptedAtMs - right.acceptedAtMs || (left.id < right.id ? -1 : 1);
}
