/** Builds the queue entries of a scheduling cycle. */
import type { JobSpec } from "../../protocol/model.js";
import type { Job } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { Estimates } from "./estimates.js";
import { longestTargetS } from "./objectiveTargets.js";
import { completionTargetsS } from "./completionTargets.js";
import { START_OVERDUE_S, type QueueEntry } from "./queueEntry.js";

/** The minimum run time that a task counts with: starting a task costs about as much. */
const MIN_TASK_RUN_TIME_S = 1;
/** A gang is starving if none of its tasks has started for this many seconds. */
const STARVING_GANG_WAIT_S = 45;
/** Any other job is starving after this many seconds without a start. */
const STARVING_WAIT_S = 90;
/** A job is late once it has waited for this fraction of its class's longest target. */
const LATE_FRACTION = 0.6;

/** What the queue entries are built from. */
export interface QueueEntryBuilderContext {
  jobs: JobRegistry;
  estimates: Estimates;
  objectives: Objective[];
}

/** Builds the queue entries of a cycle, and owns a cache of the completion targets of jobs. */
export class QueueEntryBuilder {
  private readonly targetCache = new WeakMap<Job, number[]>();

  constructor(private readonly context: QueueEntryBuilderContext) {}

  /** Returns an entry for each job that has pending tasks and is not backing off after failures. */
  entriesForWaitingJobs(guaranteedJobs: ReadonlySet<Job>, nowMs: number): QueueEntry[] {
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
    const taskRunTimeS = Math.max(
      MIN_TASK_RUN_TIME_S,
      estimates.runTimes.expectedRunTimeS(spec.className, spec.estimateS),
    );
    const waitedS = (nowMs - job.submittedMs) / 1000;
    const isStarving = hasNotStarted(job) && waitedS > starvationThresholdS(spec);
    const unfinishedTasks = job.pendingCount + job.attempts.size;
    const taskDemand = spec.gpus || spec.cpus;
    return {
      job,
      id: job.id,
      priority: spec.priority,
      isGuaranteed,
      timeToTargetsS: this.targetsOf(job).map((targetS) => targetS - waitedS),
      taskRunTimeS,
      needsGpus: spec.gpus > 0,
      isStarving,
      isStartOverdue: isStarving && spec.kind === "array" && waitedS > START_OVERDUE_S,
      isLate: waitedS > LATE_FRACTION * longestTargetS(spec.className, objectives),
      fairShareTasks: Infinity,
      taskLimit: Infinity,
      unfinishedTasks,
      demand: taskDemand * unfinishedTasks,
      remainingWork:
        taskDemand * (job.pendingCount * taskRunTimeS + remainingRunTimeS(job, taskRunTimeS, nowMs)),
      acceptedAtMs: job.acceptedAt.getTime(),
    };
  }

  /** Returns the job's completion targets. They never change, so they are computed once per job. */
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

function starvationThresholdS({ kind }: JobSpec): number {
  return kind === "gang" ? STARVING_GANG_WAIT_S : STARVING_WAIT_S;
}

/** Returns the expected remaining run time of the job's attempts in seconds, summed over all of them. */
function remainingRunTimeS(job: Job, taskRunTimeS: number, nowMs: number): number {
  let totalS = 0;
  for (const { runningMs } of job.attempts) {
    const elapsedS = runningMs === null ? 0 : (nowMs - runningMs) / 1000;
    totalS += Math.max(MIN_TASK_RUN_TIME_S, taskRunTimeS - elapsedS);
  }
  return totalS;
}
