import type { Attempt, Job } from "../../bookkeeping/jobs.js";
import { log } from "../../transport/log.js";
import { DEFERRED_WRITE_MS } from "./recordStore.js";
import type { LeaderTerm } from "./leaderTerm.js";

/** Owns the life of attempts: from the plan, through stops, to the proof that they are gone. */
export class Attempts {
  constructor(private readonly leaderTerm: LeaderTerm) {}

  attach(attempt: Attempt): void {
    attempt.job.attach(attempt);
    attempt.machine.attach(attempt);
    this.leaderTerm.usage.add(attempt.job.spec, 1);
  }

  /** The attempt is proved gone, or was never sent: place and quota are free again. */
  gone(attempt: Attempt): void {
    if (!attempt.machine.attempts.has(attempt)) return;
    const { job, machine } = attempt;
    job.detach(attempt);
    machine.detach(attempt, this.leaderTerm.options.clock.nowMs());
    this.leaderTerm.usage.add(job.spec, -1);
    const { image } = job.spec;
    if (machine.fetching.has(image) && ![...machine.attempts].some((b) => b.job.spec.image === image)) {
      machine.imageGivenUp(image);
    }
    if (!job.cancelled) job.requeue(attempt.task);
    this.leaderTerm.scheduler.requestCycle();
    this.leaderTerm.recordStore.requestWrite(job.over ? 0 : DEFERRED_WRITE_MS);
  }

  stopAttempt(attempt: Attempt, graceS: number): void {
    attempt.machine.changes++;
    if (attempt.stop) {
      if (graceS < attempt.stop.graceS) attempt.stop = newStop(this.leaderTerm.options.clock.nowMs(), graceS);
      else return;
    } else attempt.stop = newStop(this.leaderTerm.options.clock.nowMs(), graceS);
    if (!attempt.inherited && attempt.sentToken < 0) {
      // Never sent, so there is nothing to stop; but a gang that lacks it never starts.
      this.gone(attempt);
      if (attempt.job.spec.kind === "gang") this.breakGang(attempt.job);
      return;
    }
    this.leaderTerm.supervisor.sendCommands(attempt.machine);
  }

  /** Stops a task the orderly way; a gang only ever as a whole. */
  stopOrderly(attempt: Attempt): void {
    const { spec } = attempt.job;
    const grace = spec.checkpointS > 0 ? spec.saveS + 1 : 0;
    if (spec.kind === "gang") for (const b of [...attempt.job.attempts]) this.stopAttempt(b, grace);
    else this.stopAttempt(attempt, grace);
  }

  cancelJob(job: Job, cancelledAt: Date): void {
    job.cancelledAt = cancelledAt;
    this.leaderTerm.jobsVersion++;
    for (const a of [...job.attempts]) this.stopAttempt(a, 0);
    if (job.over) this.leaderTerm.recordStore.requestWrite(0);
  }

  done(job: Job, task: number): void {
    if (!job.markDone(task)) return;
    // A gang completes together: when one task is done, all of them are.
    if (job.spec.kind === "gang") {
      for (let t = 0; t < job.spec.tasks; t++) job.markDone(t);
      // A member that was started once more after its gang was done waits for nobody.
      for (const a of [...job.attempts]) this.stopAttempt(a, 0);
    }
    this.leaderTerm.recordStore.requestWrite(job.over ? 0 : DEFERRED_WRITE_MS);
  }

  /** An attempt ended without a word: with its machine, its session, or by an elapsed lease or a higher token. */
  lost(attempt: Attempt): void {
    const { job } = attempt;
    log.debug(() => `${job.id}/${attempt.task} is gone from ${attempt.machine.name}`);
    this.gone(attempt);
    if (job.spec.kind === "gang") this.breakGang(job);
  }

  /** A gang that lost a member starts again whole: the others are told to go. */
  breakGang(job: Job): void {
    if (job.allDone) return;
    for (const b of [...job.attempts]) this.stopAttempt(b, 0);
  }
}

export function newStop(nowMs: number, graceS: number): NonNullable<Attempt["stop"]> {
  return { sinceMs: nowMs, graceS, sent: false, lastSentMs: -Infinity };
}
