/** The rules on what controllers report about a job to its user, and the state that its user knows from them. */
import type { SimClock } from "../clock.js";
import type { FinalPhase, SimJob } from "../job.js";
import { CANCEL_S } from "../region.js";
import type { ReportViolation } from "./violations.js";

/** A job about which no status query is answered for so long is forgotten. */
const FORGOTTEN_MS = 75_000;

/** What the checkers of job statuses need from their world. */
export interface JobStatusRulesOptions {
  clock: SimClock;
  /** Has the job tasks that run anywhere? */
  hasLiveTasks: (jobId: string) => boolean;
  /** From when on no fault disturbs the world any more. */
  faultFreeFromMs: () => number;
  report: ReportViolation;
}

/** Checks each response about a job, and records the final phase that it reports. */
export class JobStatusRules {
  constructor(private readonly options: JobStatusRulesOptions) {}

  /** A controller reported that phase in its response to a request sent at `sentMs`. */
  onPhase(job: SimJob, phase: string, sentMs: number): void {
    if (isOutdated(job, phase, sentMs)) return;
    this.checkWentBack(job, phase);
    this.checkNotDone(job, phase);
    if (isFinal(phase) && job.finalPhase === null) this.recordFinalPhase(job, phase);
  }

  /** `forgotten`: an accepted job stays known; a response that denies it breaks the rule. */
  onDenied(job: SimJob, detail: string | number): void {
    if (job.isAccepted) this.options.report("forgotten", `${job.spec.ref}: ${detail}`);
  }

  /** `forgotten`: each job's user gets an answer in time; that other jobs' queries are answered is no excuse. */
  checkAnswered(job: SimJob): void {
    const nowMs = this.options.clock.nowMs();
    const sinceMs = Math.max(job.lastResponseAtMs, this.options.faultFreeFromMs());
    if (nowMs - sinceMs <= FORGOTTEN_MS) return;
    this.options.report(
      "forgotten",
      `${job.spec.ref}: no status query answered since ${job.lastResponseAtMs}`,
    );
    job.lastResponseAtMs = nowMs;
  }

  /** `went_back`: a final phase is never taken back, and nothing is cancelled that nobody cancelled. */
  private checkWentBack(job: SimJob, phase: string): void {
    const { report } = this.options;
    if (job.finalPhase !== null && phase !== job.finalPhase) {
      report("went_back", `${job.spec.ref}: ${job.finalPhase} ${phase}`);
    }
    if (phase === "withdrawn" && !job.isCancelRequested) {
      report("went_back", `${job.spec.ref}: nobody cancelled`);
    }
  }

  /** `not_done`: a job is reported done only once each of its tasks was completed. */
  private checkNotDone(job: SimJob, phase: string): void {
    if (phase === "done" && job.doneTasks.size < job.spec.spores) {
      this.options.report("not_done", job.spec.ref);
    }
  }

  private recordFinalPhase(job: SimJob, phase: FinalPhase): void {
    job.finalPhase = phase;
    job.finalPhaseAtMs = this.options.clock.nowMs();
    if (phase === "withdrawn") this.checkRanCancelledLater(job);
  }

  /** `ran_cancelled`: no task of a cancelled job runs any more, `CANCEL_S` after its cancellation was confirmed. */
  private checkRanCancelledLater(job: SimJob): void {
    this.options.clock.after(CANCEL_S * 1000, () => {
      if (this.options.hasLiveTasks(job.spec.ref)) this.options.report("ran_cancelled", job.spec.ref);
    });
  }
}

/** Asked before the final phase was reported and answered after: the answer may be the older one. */
function isOutdated(job: SimJob, phase: string, sentMs: number): boolean {
  return job.finalPhase !== null && sentMs < job.finalPhaseAtMs && phase !== job.finalPhase;
}

function isFinal(phase: string): phase is FinalPhase {
  return phase === "done" || phase === "withdrawn";
}
