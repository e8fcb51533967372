import type { Attempt, Job } from "../bookkeeping/jobs.js";
import { log } from "../transport/log.js";
import { LAZY_WRITE_MS } from "./archive.js";
import type { LeaderTerm } from "./leaderTerm.js";

/** Owns the life of attempts: from the plan, through stops, to the proof that they are gone. */
export class Attempts {
  constructor(private readonly r: LeaderTerm) {}

  attach(a: Attempt): void {
    a.job.attach(a);
    a.machine.attach(a);
    this.r.usage.add(a.job.spec, 1);
  }

  /** The attempt is proved gone, or was never sent: place and quota are free again. */
  gone(a: Attempt): void {
    if (!a.machine.attempts.has(a)) return;
    const { job, machine } = a;
    job.detach(a);
    machine.detach(a, this.r.o.clock.nowMs());
    this.r.usage.add(job.spec, -1);
    const { image } = job.spec;
    if (machine.fetching.has(image) && ![...machine.attempts].some((b) => b.job.spec.image === image)) {
      machine.imageGivenUp(image);
    }
    if (!job.cancelled) job.requeue(a.task);
    this.r.placer.requestPass();
    this.r.archive.requestWrite(job.over ? 0 : LAZY_WRITE_MS);
  }

  stopAttempt(a: Attempt, graceS: number): void {
    a.machine.changes++;
    if (a.stop) {
      if (graceS < a.stop.graceS) a.stop = newStop(this.r.o.clock.nowMs(), graceS);
      else return;
    } else a.stop = newStop(this.r.o.clock.nowMs(), graceS);
    if (!a.inherited && a.sentToken < 0) {
      // Never sent, so there is nothing to stop; but a gang that lacks it never starts.
      this.gone(a);
      if (a.job.spec.kind === "gang") this.breakGang(a.job);
      return;
    }
    this.r.supervisor.sendSoon(a.machine);
  }

  /** Stops a task the orderly way; a gang only ever as a whole. */
  stopOrderly(a: Attempt): void {
    const { spec } = a.job;
    const grace = spec.checkpointS > 0 ? spec.saveS + 1 : 0;
    if (spec.kind === "gang") for (const b of [...a.job.attempts]) this.stopAttempt(b, grace);
    else this.stopAttempt(a, grace);
  }

  cancelJob(job: Job, cancelledAt: Date): void {
    job.cancelledAt = cancelledAt;
    this.r.jobsVersion++;
    for (const a of [...job.attempts]) this.stopAttempt(a, 0);
    if (job.over) this.r.archive.requestWrite(0);
  }

  done(job: Job, task: number): void {
    if (!job.markDone(task)) return;
    // A gang completes together: when one task is done, all of them are.
    if (job.spec.kind === "gang") {
      for (let t = 0; t < job.spec.tasks; t++) job.markDone(t);
      // A member that was started once more after its gang was done waits for nobody.
      for (const a of [...job.attempts]) this.stopAttempt(a, 0);
    }
    this.r.archive.requestWrite(job.over ? 0 : LAZY_WRITE_MS);
  }

  /** An attempt ended without a word: with its machine, its session, or by a fence. */
  lost(a: Attempt): void {
    const { job } = a;
    log.debug(() => `${job.id}/${a.task} is gone from ${a.machine.name}`);
    this.gone(a);
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
