/** What queue order knows of a job, as of one cycle. */
import type { Job } from "../../bookkeeping/workload.js";

/** The tasks with which a job begins out of turn after its start has become overdue. */
export const EARLY_START_TASKS = 2;

/** The largest jobs have to begin within four minutes, whatever their priority: overdue from here on, in seconds. */
export const OVERDUE_S = 150;

/** A job with tasks to place, as the order of the queue sees it. */
export interface QueueEntry {
  job: Job;
  id: string;
  priority: number;
  /** It falls within its team's guaranteed quota. */
  isGuaranteed: boolean;
  /** It competes for accelerators; other jobs compete for cpus. */
  needsGpus: boolean;
  /** No task of it has started for so long that it is served before others of its priority. */
  isStarving: boolean;
  /** No task of it has started for so long that it has to start soon, whatever its priority. */
  isStartOverdue: boolean;
  /** Most of the time of its class's loosest objective is over, and it isn't done. */
  isLate: boolean;
  /**
   * Tasks that may run before its competitors have their fair share of the room; Infinity: no limit. Set by
   * `serveOrder`.
   */
  fairShareTasks: number;
  /** Tasks that may run at all: late jobs keep to a part of the room; Infinity: no limit. Set by `serveOrder`. */
  taskLimit: number;
  /** Seconds from now until its targets, the nearest first; later targets are looser. */
  targetsLeftS: number[];
  /** Seconds that a single task of it still takes. */
  taskS: number;
  /** Tasks without a result. */
  unfinishedTasks: number;
  /** Cpus, or accelerators, that all its unfinished tasks would take at once. */
  demand: number;
  /** Cpu seconds, or accelerator seconds, that are left to do. */
  remainingWork: number;
  /** When the job was accepted, as a Unix time in milliseconds: decides between entries that are equal otherwise. */
  acceptedAtMs: number;
}

/** What a team may use at most, in accelerators or in cpus. */
export type TeamLimit = (team: string, needsGpus: boolean) => number;

/** Sorts the job that was accepted first to the front. */
export function byArrival(left: QueueEntry, right: QueueEntry): number {
  return left.acceptedAtMs - right.acceptedAtMs || (left.id < right.id ? -1 : 1);
}
