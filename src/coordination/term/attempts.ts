import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import type { CycleRequests } from "./cycleRequests.js";
import type { JobRegistry } from "./jobRegistry.js";
import { DEFERRED_WRITE_MS, type WriteRequests } from "./writeQueue.js";

/** Sends a machine the commands that are due to it. */
export interface CommandQueue {
  /** As soon as nothing else is on its way there; with `raiseToken` under a higher fencing token. */
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

/** Owns the lifecycle of attempts: from the plan, through stops, to the proof that they are gone. */
export class Attempts {
  private unusedNumber: number;

  constructor(private readonly context: AttemptsContext) {
    this.unusedNumber = context.firstNumber;
  }

  /** A number that no other attempt of any term has. */
  nextNumber(): number {
    return this.unusedNumber++;
  }

  /** From here on the attempt holds its place and quota. */
  attach(attempt: Attempt): void {
    attempt.job.attach(attempt);
    attempt.machine.attach(attempt);
    this.context.usage.add(attempt.job.spec, 1);
  }

  /** The attempt is proved gone, or was never sent: place and quota are free again. */
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

  /** Stops it; one that is being stopped already only gets less time. */
  stopAttempt(attempt: Attempt, graceS: number): void {
    attempt.machine.revision++;
    if (attempt.stop && graceS >= attempt.stop.graceS) return;
    attempt.stop = newStopRequest(this.context.clock.nowMs(), graceS);
    if (attempt.isInherited || attempt.sentToken >= 0) {
      this.context.commands.sendCommands(attempt.machine);
      return;
    }
    // Never sent, so there is nothing to stop; but a gang that lacks it never starts.
    this.confirmGone(attempt);
    if (attempt.job.spec.kind === "gang") this.breakGang(attempt.job);
  }

  /** Stops a task with the time that its checkpoint takes; a gang only ever as a whole. */
  stopGracefully(attempt: Attempt): void {
    const { spec } = attempt.job;
    const graceS = spec.checkpointS > 0 ? spec.saveS + 1 : 0;
    if (spec.kind === "gang")
      for (const member of [...attempt.job.attempts]) this.stopAttempt(member, graceS);
    else this.stopAttempt(attempt, graceS);
  }

  cancelJob(job: Job, cancelledAt: Date): void {
    job.cancelledAt = cancelledAt;
    this.context.jobs.recordCancellation();
    for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
    if (job.canFinalize) this.context.writes.requestWrite(0);
  }

  markTaskDone(job: Job, task: number): void {
    if (!job.markDone(task)) return;
    // A gang completes together: when one task is done, all of them are.
    if (job.spec.kind === "gang") {
      for (let other = 0; other < job.spec.tasks; other++) job.markDone(other);
      // A member that was started once more after its gang was done waits for nobody.
      for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
    }
    this.context.writes.requestWrite(job.canFinalize ? 0 : DEFERRED_WRITE_MS);
  }

  /** An attempt ended without a word: with its machine, its epoch, or by lease expiry or a higher fencing token. */
  markLost(attempt: Attempt): void {
    const { job } = attempt;
    log.debug(() => `${job.id}/${attempt.task} is gone from ${attempt.machine.name}`);
    this.confirmGone(attempt);
    if (job.spec.kind === "gang") this.breakGang(job);
  }

  /** A gang that lost a member starts again whole: the others are stopped. */
  breakGang(job: Job): void {
    if (job.isComplete) return;
    for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
  }
}

/** A worker gives up a fetch that no task waits for any more. */
function abandonFetch(machine: Machine, image: string): void {
  if (!machine.images.isFetching(image)) return;
  for (const attempt of machine.attempts) if (attempt.job.spec.image === image) return;
  machine.abandonImageFetch(image);
}

/** A stop that was asked for now and has not been sent yet. */
export function newStopRequest(nowMs: number, graceS: number): NonNullable<Attempt["stop"]> {
  return { sinceMs: nowMs, graceS, sent: false, lastSentMs: -Infinity };
}
