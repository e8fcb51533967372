/** The lifecycle of attempts. Only this module attaches attempts to jobs, machines and quotas and detaches them. */
import { newStopRequest } from "../../bookkeeping/stopRequest.js";
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { Clock } from "../../transport/clock.js";
import { log, quoteName } from "../../transport/log.js";
import type { CycleRequests } from "./cycleRequests.js";
import type { JobRegistry } from "./jobRegistry.js";
import { DEFERRED_WRITE_MS, type WriteRequests } from "./writeQueue.js";

/** Time given to a task on a graceful stop beyond the time that saving a checkpoint takes. */
const SAVE_MARGIN_S = 1;

/** Sends pending commands to machines. */
export interface CommandQueue {
  /** Sends now, or after the delivery in flight to the machine; with `raiseToken`, under a higher fencing token. */
  sendCommands(machine: Machine, raiseToken?: boolean): void;
}

/** The dependencies of `Attempts`, owned by the term. */
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
 * Owns the lifecycle of attempts, from placement through stop requests to the proof that the task is gone. Keeps the job,
 * the machine and the quota usage consistent for each attempt.
 */
export class Attempts {
  private unusedNumber: number;

  constructor(private readonly context: AttemptsContext) {
    this.unusedNumber = context.firstNumber;
  }

  /** Returns an attempt number that is unique across all terms. */
  nextNumber(): number {
    return this.unusedNumber++;
  }

  /** Adds an attempt, which holds resources and quota from then on. */
  attach(attempt: Attempt): void {
    attempt.job.attach(attempt);
    attempt.machine.attach(attempt);
    this.context.usage.add(attempt.job.spec, 1);
  }

  /** Moves an attempt of an earlier leader to the machine whose worker lists it, and requests a write of the record. */
  moveToListingMachine(attempt: Attempt, machine: Machine): void {
    const { job } = attempt;
    log.info(
      `${job.id}/${attempt.task}: recorded on ${quoteName(attempt.machine.name)}, but listed by ${quoteName(machine.name)}`,
    );
    attempt.machine.detach(attempt, this.context.clock.nowMs());
    attempt.machine = machine;
    machine.attach(attempt);
    job.getOrCreateChunk(attempt.task).isDirty = true;
    this.context.writes.requestWrite(DEFERRED_WRITE_MS);
  }

  /** Releases resources and quota of an attempt that is proved gone or whose start command was never sent. */
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

  /** Stops an attempt within `graceS`. A repeated stop request can only shorten the grace period. */
  stopAttempt(attempt: Attempt, graceS: number): void {
    attempt.machine.revision++;
    if (attempt.stop && graceS >= attempt.stop.graceS) return;
    attempt.stop = newStopRequest(this.context.clock.nowMs(), graceS);
    if (attempt.isInherited || attempt.sentToken >= 0) {
      this.context.commands.sendCommands(attempt.machine);
      return;
    }
    // The start command was never sent, so there is nothing to stop, but the rest of a gang would wait for it forever.
    this.confirmGone(attempt);
    if (attempt.job.spec.kind === "gang") this.restartGang(attempt.job);
  }

  /** Stops an attempt, with time to save a checkpoint. All attempts of a gang are stopped together. */
  stopGracefully(attempt: Attempt): void {
    const { spec } = attempt.job;
    const graceS = spec.checkpointS > 0 ? spec.saveS + SAVE_MARGIN_S : 0;
    if (spec.kind === "gang")
      for (const member of [...attempt.job.attempts]) this.stopAttempt(member, graceS);
    else this.stopAttempt(attempt, graceS);
  }

  /** Records the cancellation at wall-clock time `cancelledAt` and stops all attempts of the job without grace. */
  cancelJob(job: Job, cancelledAt: Date): void {
    job.cancelledAt = cancelledAt;
    this.context.jobs.recordCancellation();
    for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
    if (job.canFinalize) this.context.writes.requestWrite(0);
  }

  /** Records that a task, and with it its whole gang, is done, and requests a write of the record. */
  markTaskDone(job: Job, task: number): void {
    if (!job.markDone(task)) return;
    // A gang completes as a whole: when one of its tasks is done, all of them are.
    if (job.spec.kind === "gang") {
      for (let other = 0; other < job.spec.tasks; other++) job.markDone(other);
      // An attempt that was started after its gang was done would wait for its peers forever.
      for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
    }
    this.context.writes.requestWrite(job.canFinalize ? 0 : DEFERRED_WRITE_MS);
  }

  /** Handles an attempt without an observed exit: its machine, epoch or lease ended, or a higher token fenced it. */
  markLost(attempt: Attempt): void {
    const { job } = attempt;
    log.debug(() => `${job.id}/${attempt.task}: attempt on ${quoteName(attempt.machine.name)} was lost`);
    this.confirmGone(attempt);
    if (job.spec.kind === "gang") this.restartGang(job);
  }

  /** Stops the remaining attempts of a gang that has lost one, so that the gang restarts as a whole. */
  restartGang(job: Job): void {
    if (job.isComplete) return;
    for (const attempt of [...job.attempts]) this.stopAttempt(attempt, 0);
  }
}

/** Records that the worker abandons an image fetch that no attempt on the machine needs any more. */
function abandonFetch(machine: Machine, image: string): void {
  if (!machine.images.isFetching(image)) return;
  for (const attempt of machine.attempts) if (attempt.job.spec.image === image) return;
  machine.abandonImageFetch(image);
}
