/** Builds the queue's entries from the jobs that have something to place. */
import type { JobSpec } from "../../protocol/model.js";
import type { Job } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { Estimates } from "./estimates.js";
import { longestTargetS } from "./objectiveTargets.js";
import { completionTargetsS } from "./completionTargets.js";
import { OVERDUE_S, type QueueEntry } from "./queueEntry.js";

/** No task counts as shorter than this: a start costs about as much. */
const MIN_TASK_S = 1;
/** A gang of which nothing has started for this long has waited too long; other jobs may wait for twice as long. */
const LONG_GANG_WAIT_S = 45;
const LONG_WAIT_S = 90;
/** A job is late from this part of its class's longest target on. */
const LATE_FRACTION = 0.6;

/** What queue entries are made from. */
export interface QueueEntriesContext {
  jobs: JobRegistry;
  estimates: Estimates;
  objectives: Objective[];
}

/** Makes the queue entries of a cycle: what the order of service depends on, for each job that waits. */
export class QueueEntries {
  private readonly targetCache = new WeakMap<Job, number[]>();

  constructor(private readonly context: QueueEntriesContext) {}

  /** Entries of the jobs that have tasks to place at this moment. */
  ofWaitingJobs(guaranteedJobs: ReadonlySet<Job>, nowMs: number): QueueEntry[] {
    const entries: QueueEntry[] = [];
    for (const job of this.context.jobs.values()) {
      if (job.isCancelled || job.pendingCount <= 0 || job.backOffUntilMs > nowMs) continue;
      entries.push(this.entryOf(job, guaranteedJobs.has(job), nowMs));
    }
    return entries;
  }

  private entryOf(job: Job, isGuaranteed: boolean, nowMs: number): QueueEntry {
    const { spec } = job;
    const { estimates, objectives } = this.context;
    const taskS = Math.max(MIN_TASK_S, estimates.runTimes.expectedS(spec.className, spec.estimateS));
    const waitedS = (nowMs - job.submittedMs) / 1000;
    const isStarving = hasNotStarted(job) && waitedS > longWaitS(spec);
    const unfinishedTasks = job.pendingCount + job.attempts.size;
    const demandOfTask = spec.gpus || spec.cpus;
    return {
      job,
      id: job.id,
      priority: spec.priority,
      isGuaranteed,
      targetsLeftS: this.targetsOf(job).map((targetS) => targetS - waitedS),
      taskS,
      needsGpus: spec.gpus > 0,
      isStarving,
      isStartOverdue: isStarving && spec.kind === "array" && waitedS > OVERDUE_S,
      isLate: waitedS > LATE_FRACTION * longestTargetS(spec.className, objectives),
      fairShareTasks: Infinity,
      taskLimit: Infinity,
      unfinishedTasks,
      demand: demandOfTask * unfinishedTasks,
      remainingWork: demandOfTask * (job.pendingCount * taskS + remainingS(job, taskS, nowMs)),
      acceptedAtMs: job.acceptedAt.getTime(),
    };
  }

  /** A job's targets never change, so they are derived once. */
  private targetsOf(job: Job): number[] {
    let targets = this.targetCache.get(job);
    if (!targets) {
      targets = completionTargetsS(job.spec.className, job.spec.deadlineS, this.context.objectives);
      this.targetCache.set(job, targets);
    }
    return targets;
  }
}

function hasNotStarted(job: Job): boolean {
  return job.attempts.size === 0 && job.doneCount === 0;
}

function longWaitS({ kind }: JobSpec): number {
  return kind === "gang" ? LONG_GANG_WAIT_S : LONG_WAIT_S;
}

/** Seconds that the job's attempts are expected to run yet, summed. */
function remainingS(job: Job, taskS: number, nowMs: number): number {
  let sumS = 0;
  for (const { runningMs } of job.attempts) {
    const ranS = runningMs === null ? 0 : (nowMs - runningMs) / 1000;
    sumS += Math.max(MIN_TASK_S, taskS - ranS);
  }
  return sumS;
}
