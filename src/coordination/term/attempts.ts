/**
 * The lifecycle of attempts, the one place that attaches them to jobs, machines and quotas, and takes them off
 * again.
 */
import type { Attempt, Job, Machine, StopRequest } from "../../bookkeeping/workload.js";
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import type { CycleRequests } from "./cycleRequests.js";
import type { JobRegistry } from "./jobRegistry.js";
import { DEFERRED_WRITE_MS, type WriteRequests } from "./writeQueue.js";

/** Time that a task gets beyond what saving its state takes. */
const SAVE_MARGIN_S = 1;

/** Sends a machine the commands that are due to it. */
export interface CommandQueue {
  /** At once, or after the delivery that is on its way there; with `raiseToken` under a higher fencing token. */
  sendCommands(machine: Machine, raiseToken?: boolean): void;
}

/** What the lifecycle of attempts uses of the term. */
export interface AttemptsContext {
  clock: Clock;
  jobs: JobRegistry;
  usage: QuotaUsage;
  writes: WriteRequests;
  cycles: CycleRequests;
  commands: CommandQueue;
  /** The first attempt number that the term may use. */
  firstNumber: number;
}

/**
 * Owns the lifecycle of attempts: from the plan, through stops, to the proof that they are gone. It keeps the job's, the
 * machine's and the quota's view of each attempt in step.
 */
export class Attempts {
  private unusedNumber: number;

  constructor(private readonly context: AttemptsContext) {
    this.unusedNumber = context.firstNumber;
  }

  /** A number that no other attempt of any term has. */
  nextNumber(): number {
    return this.unusedNumber++;
  }

  /** From here on the attempt holds resources and quota. */
  attach(attempt: Attempt): void {
    attempt.job.attach(attempt);
    attempt.machine.attach(attempt);
    this.context.usage.add(attempt.job.spec, 1);
  }

  /** The attempt is proved gone, or was never sent: resources and quota are free again. */
  confirmGone(attempt: Attempt): void {
    if (!attempt.machine.attempts.has(attempt)) return;
    const { job, machine } = attempt;
    job.detach(attempt);
    machine.detach(attempt, this.context.clock.nowMs());
    this.context.usage.add(job.spec, -1);
    abandonFetch(machine, job.spec.image);
    if (!job.isCancelled) job.requeue(attempt.task);
    this.context.cycles.requestCycle();
    this.context.writes.requestWrite(job.canFinalize ? 0 : DEFERRED_WRITE_MS);
  }

  /** Stops it within that time; one that is being stopped already can only get less time. */
  stopAttempt(attempt: Attempt, graceS: number): void {
    attempt.machine.revision++;
    if (attempt.stop && graceS >= attempt.stop.graceS) return;
    attempt.stop = newStopRequest(this.context.clock.nowMs(), graceS);
    if (attempt.isInherited || attempt.sentToken >= 0) {
      this.context.commands.sendCommands(attempt.machine);
      return;
    }
    // Never sent, so there is nothing to stop; but without it the rest of its gang would never start.
    this.confirmGone(attempt);
    if (attempt.job.spec.kind === "gang") this.breakGang(attempt.job);
  }

  /** Stops a task with the time that saving its state takes; a gang only ever as a whole. */
  stopGracefully(attempt: Attempt): void {
    const { spec } = attempt.job;
    const graceS = spec.checkpointS > 0 ? spec.saveS + SAVE_MARGIN_S : 0;
    if (spec.kind === "gang")
      for (const member of [...attempt.job.attempts]) this.stopAttempt(member, graceS);
    else this.stopAttempt(attempt, graceS);
  }

  /** The job is cancelled, at that time of day: stops its tasks at once. */
  cancelJob(job: Job, cancelledAt: Date): void {
    job.cancelledAt = cancelledAt;
    this.context.jobs.recordCancellation();
    for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
    if (job.canFinalize) this.context.writes.requestWrite(0);
  }

  /** The task is done, and with it the whole of a gang; its record is written soon. */
  markTaskDone(job: Job, task: number): void {
    if (!job.markDone(task)) return;
    // A gang completes together: when one task is done, all of them are.
    if (job.spec.kind === "gang") {
      for (let other = 0; other < job.spec.tasks; other++) job.markDone(other);
      // A member that was started again after its gang was done would wait for the others for ever.
      for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
    }
    this.context.writes.requestWrite(job.canFinalize ? 0 : DEFERRED_WRITE_MS);
  }

  /** An attempt ended without an exit that was seen: with its machine, its epoch, by lease expiry or a higher fencing token. */
  markLost(attempt: Attempt): void {
    const { job } = attempt;
    log.debug(() => `${job.id}/${attempt.task} is gone from ${attempt.machine.name}`);
    this.confirmGone(attempt);
    if (job.spec.kind === "gang") this.breakGang(job);
  }

  /** A gang that lost a member starts again as a whole: the others are stopped. */
  breakGang(job: Job): void {
    if (job.isComplete) return;
    for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
  }
}

/** A worker gives up a fetch that no attempt waits for any more. */
function abandonFetch(machine: Machine, image: string): void {
  if (!machine.images.isFetching(image)) return;
  for (const attempt of machine.attempts) if (attempt.job.spec.image === image) return;
  machine.abandonImageFetch(image);
}

/** A stop that is decided now and has not been sent yet. */
export function newStopRequest(nowMs: number, graceS: number): StopRequest {
  return { sinceMs: nowMs, graceS, isSent: false, lastSentMs: -Infinity };
}
