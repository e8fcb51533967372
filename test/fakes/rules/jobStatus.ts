/** The rules on the job phases that controllers report to users. */
import type { SimClock } from "../clock.js";
import type { FinalPhase, SimJob } from "../job.js";
import { CANCEL_S } from "../region.js";
import type { ReportViolation } from "./violations.js";

/** Time without an answered status query after which a job counts as forgotten. */
const FORGOTTEN_LIMIT_MS = 75_000;

/** Dependencies of the job status rules. */
export interface JobStatusRulesOptions {
  clock: SimClock;
  /** Returns whether the job has live tasks on any worker. */
  hasLiveTasks: (jobId: string) => boolean;
  /** Returns the time from which no fault affects the world. */
  faultFreeFromMs: () => number;
  report: ReportViolation;
}

/** Checks each response about a job and records the final phase that it reports. */
export class JobStatusRules {
  constructor(private readonly options: JobStatusRulesOptions) {}

  /** Checks a phase that a controller reported in response to a request sent at `sentMs`. */
  onPhase(job: SimJob, phase: string, sentMs: number): void {
    if (isOutdated(job, phase, sentMs)) return;
    this.checkWentBack(job, phase);
    this.checkNotDone(job, phase);
    if (isFinal(phase) && job.finalPhase === null) this.recordFinalPhase(job, phase);
  }

  /** `forgotten`: a response that treats an accepted job as unknown or invalid violates the rule. */
  onAcceptanceDenied(job: SimJob, detail: string | number): void {
    if (job.isAccepted) this.options.report("forgotten", `${job.spec.ref}: ${detail}`);
  }

  /** `forgotten`: status queries are answered in time for each job, independently of the queries for other jobs. */
  checkAnswered(job: SimJob): void {
    const nowMs = this.options.clock.nowMs();
    const sinceMs = Math.max(job.lastResponseAtMs, this.options.faultFreeFromMs());
    if (nowMs - sinceMs <= FORGOTTEN_LIMIT_MS) return;
    this.options.report(
      "forgotten",
      `${job.spec.ref}: no status query answered since ${job.lastResponseAtMs}`,
    );
    job.lastResponseAtMs = nowMs;
  }

  /** `went_back`: a final phase never changes, and no job is reported as cancelled without a cancellation request. */
  private checkWentBack(job: SimJob, phase: string): void {
    const { report } = this.options;
    if (job.finalPhase !== null && phase !== job.finalPhase) {
      report("went_back", `${job.spec.ref}: ${job.finalPhase} ${phase}`);
    }
    if (phase === "withdrawn" && !job.isCancelRequested) {
      report("went_back", `${job.spec.ref}: cancelled without a request`);
    }
  }

  /** `not_done`: a job is reported as done only after each of its tasks has completed. */
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

  /** `ran_cancelled`: no task of a cancelled job is live `CANCEL_S` after the cancellation was confirmed. */
  private checkRanCancelledLater(job: SimJob): void {
    this.options.clock.after(CANCEL_S * 1000, () => {
      if (this.options.hasLiveTasks(job.spec.ref)) this.options.report("ran_cancelled", job.spec.ref);
    });
  }
}

/**
 * Whether the response may have been overtaken: its request was sent before the final phase was reported, and it
 * reports a different phase.
 */
function isOutdated(job: SimJob, phase: string, sentMs: number): boolean {
  return job.finalPhase !== null && sentMs < job.finalPhaseAtMs && phase !== job.finalPhase;
}

function isFinal(phase: string): phase is FinalPhase {
  return phase === "done" || phase === "withdrawn";
}
