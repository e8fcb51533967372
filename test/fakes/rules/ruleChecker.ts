/** All rules of one simulated world: the world reports each event here, and breaches are collected. */
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

/** What the checkers look at. */
export interface RuleCheckerOptions {
  clock: SimClock;
  jobs: ReadonlyMap<string, SimJob>;
  fleet: SimFleet;
  cloud: SimCloud;
  limits: TeamLimits;
  /** From when on no fault disturbs the world any more. */
  faultFreeFromMs: () => number;
}

/** Runs each rule at its moment; a world has one. */
export class RuleChecker {
  /** Every breach so far, in order of time. */
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

  /** From now on, also looks for jobs that wait and machines that are paid for in vain. */
  watchIdleCapacity(): void {
    const { clock, jobs, fleet, cloud, limits, faultFreeFromMs } = this.options;
    const report = (rule: RuleName, detail: string): void => this.report(rule, detail);
    new IdleCapacityRules({ clock, jobs, fleet, cloud, limits, faultFreeFromMs, report }).start();
  }

  /** Records a breach. */
  report(rule: RuleName, detail: string): void {
    this.violations.push({ rule, detail, atMs: this.options.clock.nowMs() });
  }

  /** Checks the start of a task. */
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
    const start: TaskStart = { worker, task, job, others, nowMs };
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
