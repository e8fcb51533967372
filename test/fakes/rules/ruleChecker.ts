/** The checker of all rules in a simulated world. The world reports its events to the checker. */
import type { SimClock } from "../clock.js";
import type { SimCloud } from "../cloud.js";
import type { SimFleet } from "../fleet.js";
import { jobOf } from "../fleet.js";
import type { SimJob } from "../job.js";
import type { TeamLimits } from "../region.js";
import type { SimTask } from "../taskRunner.js";
import type { SimWorker } from "../worker.js";
import { IdleCapacityRules } from "./idleCapacity.js";
import { JobStatusRules } from "./jobStatus.js";
import {
  checkQuota,
  checkRanTwice,
  checkStartedCancelled,
  checkWrongPlace,
  type TaskStart,
} from "./taskStart.js";
import type { RuleName, Violation } from "./violations.js";

/** The parts of the world that the rules inspect. */
export interface RuleCheckerOptions {
  clock: SimClock;
  jobs: ReadonlyMap<string, SimJob>;
  fleet: SimFleet;
  cloud: SimCloud;
  limits: TeamLimits;
  /** Returns the time from which no fault affects the world. */
  faultFreeFromMs: () => number;
}

/** Checks each rule when the events that it concerns occur, and collects the violations; each world has one checker. */
export class RuleChecker {
  /** All violations so far, in order of time. */
  readonly violations: Violation[] = [];
  readonly jobStatus: JobStatusRules;

  constructor(private readonly options: RuleCheckerOptions) {
    this.jobStatus = new JobStatusRules({
      clock: options.clock,
      hasLiveTasks: (jobId) => options.fleet.liveTasks(jobId).length > 0,
      faultFreeFromMs: options.faultFreeFromMs,
      report: (rule, detail) => this.report(rule, detail),
    });
  }

  /** Starts the periodic checks for jobs that wait despite free capacity and for machines that never start. */
  watchIdleCapacity(): void {
    const { clock, jobs, fleet, cloud, limits, faultFreeFromMs } = this.options;
    const report = (rule: RuleName, detail: string): void => this.report(rule, detail);
    new IdleCapacityRules({ clock, jobs, fleet, cloud, limits, faultFreeFromMs, report }).checkPeriodically();
  }

  /** Records a violation. */
  report(rule: RuleName, detail: string): void {
    this.violations.push({ rule, detail, atMs: this.options.clock.nowMs() });
  }

  /** Checks the rules on the start of a task; a task of a job that was never submitted violates `invented`. */
  onTaskStart(worker: SimWorker, task: SimTask): void {
    const { jobs, limits } = this.options;
    const fleet = this.options.fleet;
    const job = jobOf(jobs, task);
    if (!job) {
      this.report("invented", `start ${task.name}`);
      return;
    }
    const nowMs = this.options.clock.nowMs();
    job.firstStartAtMs ??= nowMs;
    const others = fleet.liveTasks(job.spec.ref).filter((other) => other.task !== task);
    const start: TaskStart = { worker, task, job, otherLiveTasks: others, nowMs };
    this.reportIfBroken("ran_twice", checkRanTwice(start));
    this.reportIfBroken("ran_cancelled", checkStartedCancelled(start));
    this.reportIfBroken("wrong_place", checkWrongPlace(start));
    const quota = checkQuota(job.spec.crew, jobs.values(), (jobId) => fleet.liveTasks(jobId), limits);
    this.reportIfBroken("quota", quota);
  }

  private reportIfBroken(rule: RuleName, detail: string | null): void {
    if (detail !== null) this.report(rule, detail);
  }
}
