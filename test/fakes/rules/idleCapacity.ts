/** The rules on idle capacity: waiting jobs and machines that never start. They apply only after the fault period. */
import type { SimClock } from "../clock.js";
import type { SimCloud } from "../cloud.js";
import { jobOf, type SimFleet } from "../fleet.js";
import type { SimJob } from "../job.js";
import { MACHINE_TYPES, type TeamLimits, type TeamName } from "../region.js";
import type { SimWorker } from "../worker.js";
import { allowsMachine } from "./taskStart.js";
import type { ReportViolation } from "./violations.js";

/**
 * Time limit for a machine that never starts: three times the longest boot, 30 s, and time for the list lag and
 * deletion.
 */
const NEVER_UP_LIMIT_MS = 60_000;
/** Time limit for a job that waits although a suitable machine has free capacity and the team is below its limit. */
const LEFT_WAITING_LIMIT_MS = 90_000;
const CHECK_INTERVAL_MS = 3000;

/** Dependencies of the idle capacity rules. */
export interface IdleCapacityRulesOptions {
  clock: SimClock;
  jobs: ReadonlyMap<string, SimJob>;
  fleet: SimFleet;
  cloud: SimCloud;
  limits: TeamLimits;
  /** Returns the time from which no fault affects the world. */
  faultFreeFromMs: () => number;
  report: ReportViolation;
}

interface Resources {
  cores: number;
  gpus: number;
  memoryGb: number;
}

/** Free resources on each machine, and the resources that each team's live tasks use. */
interface Usage {
  free: Map<SimWorker, Resources>;
  used: Record<TeamName, Resources>;
}

/** Checks, after the fault period, for jobs that wait despite free capacity and for machines that never start. */
export class IdleCapacityRules {
  /** Ids of the machines that were already reported; each is reported once. */
  private readonly reportedMachines = new Set<string>();

  constructor(private readonly options: IdleCapacityRulesOptions) {}

  /** Checks the rules now, if the fault period is over, and every `CHECK_INTERVAL_MS` from now on. */
  checkPeriodically(): void {
    const { clock, faultFreeFromMs } = this.options;
    clock.after(CHECK_INTERVAL_MS, () => this.checkPeriodically());
    const nowMs = clock.nowMs();
    if (nowMs < faultFreeFromMs()) return;
    this.checkPaidForNothing(nowMs);
    this.checkLeftWaiting(nowMs);
  }

  /**
   * `paid_for_nothing`: a machine that never starts is deleted within `NEVER_UP_LIMIT_MS` of its creation or, if that
   * is later, of the end of the fault period.
   */
  private checkPaidForNothing(nowMs: number): void {
    const { cloud, faultFreeFromMs, report } = this.options;
    for (const machine of cloud.machines.values()) {
      if (machine.isUp || this.reportedMachines.has(machine.id)) continue;
      if (nowMs - Math.max(machine.createdAtMs, faultFreeFromMs()) < NEVER_UP_LIMIT_MS) continue;
      this.reportedMachines.add(machine.id);
      report("paid_for_nothing", `${machine.id}: never up since ${machine.createdAtMs}`);
    }
  }

  /**
   * `left_waiting`: no job waits for `LEFT_WAITING_LIMIT_MS` while it would fit into free capacity and its team's
   * limit.
   */
  private checkLeftWaiting(nowMs: number): void {
    const usage = this.measureUsage();
    for (const job of this.options.jobs.values()) {
      if (!this.isWaiting(job) || !this.hasCapacity(job.spec, usage)) {
        job.waitingSinceMs = null;
        continue;
      }
      job.waitingSinceMs ??= nowMs;
      if (nowMs - job.waitingSinceMs < LEFT_WAITING_LIMIT_MS) continue;
      this.options.report("left_waiting", job.spec.ref);
      job.waitingSinceMs = nowMs;
    }
  }

  /**
   * Whether the job is accepted, has not ended or been cancelled, and has tasks that are neither completed nor live.
   */
  private isWaiting(job: SimJob): boolean {
    const { spec } = job;
    if (!job.isAccepted || job.finalPhase !== null || job.isCancelRequested) return false;
    return spec.spores - job.doneTasks.size - this.options.fleet.liveTasks(spec.ref).length > 0;
  }

  private measureUsage(): Usage {
    const free = new Map<SimWorker, Resources>();
    const used = { one: zeroResources(), two: zeroResources() };
    for (const worker of this.options.fleet.workers.values()) {
      const { cores, gpus, memoryGb } = MACHINE_TYPES.find(({ name }) => name === worker.machine.type)!;
      const remaining = { cores, gpus, memoryGb };
      for (const task of worker.tasks.values()) {
        const spec = jobOf(this.options.jobs, task)?.spec;
        if (!spec || task.phase === "exited") continue;
        addTaskResources(remaining, spec, -1);
        addTaskResources(used[spec.crew as TeamName], spec, 1);
      }
      free.set(worker, remaining);
    }
    return { free, used };
  }

  /** Whether one more task of an array, or all missing tasks of a gang or service, would fit. */
  private hasCapacity(spec: SimJob["spec"], { free, used }: Usage): boolean {
    const live = this.options.fleet.liveTasks(spec.ref);
    const needed = spec.form === "array" ? 1 : spec.spores - live.length;
    const team = spec.crew as TeamName;
    const limit = this.options.limits[team];
    if (used[team].cores + needed * spec.cores > limit.cpus) return false;
    if (used[team].gpus + needed * spec.gpus > limit.gpus) return false;
    const fittingByZone = [...countFittingTasksByZone(spec, free)].map(([zone, fitting]) => {
      const liveInZone = live.filter(({ worker }) => worker.machine.zone === zone).length;
      if (spec.together && live.length > liveInZone) return 0;
      return spec.scatter ? Math.min(fitting, Math.ceil(spec.spores / 2) - liveInZone) : fitting;
    });
    const fitting = spec.together
      ? Math.max(0, ...fittingByZone)
      : fittingByZone.reduce((total, inZone) => total + inZone, 0);
    return fitting >= needed;
  }
}

function zeroResources(): Resources {
  return { cores: 0, gpus: 0, memoryGb: 0 };
}

/** Adds the resources that `count` of the job's tasks need. */
function addTaskResources(to: Resources, spec: SimJob["spec"], count: number): void {
  to.cores += count * spec.cores;
  to.gpus += count * spec.gpus;
  to.memoryGb += count * spec.memoryGb;
}

/** Returns how many of the job's tasks fit into the free resources of each zone. */
function countFittingTasksByZone(spec: SimJob["spec"], free: Map<SimWorker, Resources>): Map<string, number> {
  const fittingByZone = new Map<string, number>();
  for (const [worker, remaining] of free) {
    if (!allowsMachine(spec, worker)) continue;
    const { zone } = worker.machine;
    const fits = Math.min(
      remaining.cores / spec.cores,
      remaining.memoryGb / spec.memoryGb,
      spec.gpus > 0 ? remaining.gpus / spec.gpus : Infinity,
    );
    fittingByZone.set(zone, (fittingByZone.get(zone) ?? 0) + Math.max(0, Math.floor(fits)));
  }
  return fittingByZone;
}
