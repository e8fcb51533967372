/** The rules on capacity that lies idle; they hold once all faults are over. */
import type { SimClock } from "../clock.js";
import type { SimCloud } from "../cloud.js";
import { jobOf, type SimFleet } from "../fleet.js";
import type { SimJob } from "../job.js";
import { MACHINE_TYPES, type TeamLimits, type TeamName } from "../region.js";
import type { SimWorker } from "../worker.js";
import { allowsMachine } from "./taskStart.js";
import type { ReportViolation } from "./violations.js";

/** Three times the longest boot, half a minute, and time for the list and the deletion. */
const NEVER_UP_MS = 60_000;
/** No job waits this long while a machine that fits has room and its team is under its limit. */
const LEFT_WAITING_MS = 90_000;
const CHECK_EVERY_MS = 3000;

/** What the checkers of idle capacity look at. */
export interface IdleCapacityRulesOptions {
  clock: SimClock;
  jobs: ReadonlyMap<string, SimJob>;
  fleet: SimFleet;
  cloud: SimCloud;
  limits: TeamLimits;
  /** From when on no fault disturbs the world any more. */
  faultFreeFromMs: () => number;
  report: ReportViolation;
}

interface Resources {
  cores: number;
  gpus: number;
  memoryGb: number;
}

/** What tasks leave free on each machine, and what each team's tasks use. */
interface Usage {
  free: Map<SimWorker, Resources>;
  used: Record<TeamName, Resources>;
}

/** Looks, once all faults are over, for jobs that are left waiting and machines that are paid for in vain. */
export class IdleCapacityRules {
  /** Machines that were reported as never up: each is reported once. */
  private readonly reportedMachines = new Set<string>();

  constructor(private readonly options: IdleCapacityRulesOptions) {}

  start(): void {
    const { clock, faultFreeFromMs } = this.options;
    clock.after(CHECK_EVERY_MS, () => this.start());
    const nowMs = clock.nowMs();
    if (nowMs < faultFreeFromMs()) return;
    this.checkPaidForNothing(nowMs);
    this.checkLeftWaiting(nowMs);
  }

  /** `paid_for_nothing`: a machine that never comes up is not paid for any longer than `NEVER_UP_MS`. */
  private checkPaidForNothing(nowMs: number): void {
    const { cloud, faultFreeFromMs, report } = this.options;
    for (const machine of cloud.machines.values()) {
      if (machine.isUp || this.reportedMachines.has(machine.id)) continue;
      if (nowMs - Math.max(machine.createdAtMs, faultFreeFromMs()) < NEVER_UP_MS) continue;
      this.reportedMachines.add(machine.id);
      report("paid_for_nothing", `${machine.id}: never up since ${machine.createdAtMs}`);
    }
  }

  /** `left_waiting`: no job waits for `LEFT_WAITING_MS` while machines that fit have room and its team may use it. */
  private checkLeftWaiting(nowMs: number): void {
    const usage = this.measureUsage();
    for (const job of this.options.jobs.values()) {
      if (!this.isWaiting(job) || !this.hasRoom(job.spec, usage)) {
        job.waitingSinceMs = null;
        continue;
      }
      job.waitingSinceMs ??= nowMs;
      if (nowMs - job.waitingSinceMs < LEFT_WAITING_MS) continue;
      this.options.report("left_waiting", job.spec.ref);
      job.waitingSinceMs = nowMs;
    }
  }

  /** Is the job accepted, neither over nor to be cancelled, with tasks that are neither done nor live? */
  private isWaiting(job: SimJob): boolean {
    const { spec } = job;
    if (!job.isAccepted || job.finalPhase !== null || job.isCancelRequested) return false;
    return spec.spores - job.doneTasks.size - this.options.fleet.liveTasks(spec.ref).length > 0;
  }

  private measureUsage(): Usage {
    const free = new Map<SimWorker, Resources>();
    const used = { one: noResources(), two: noResources() };
    for (const worker of this.options.fleet.workers.values()) {
      const { cores, gpus, memoryGb } = MACHINE_TYPES.find(({ name }) => name === worker.machine.type)!;
      const left = { cores, gpus, memoryGb };
      for (const task of worker.tasks.values()) {
        const spec = jobOf(this.options.jobs, task)?.spec;
        if (!spec || task.phase === "exited") continue;
        addTasks(left, spec, -1);
        addTasks(used[spec.crew as TeamName], spec, 1);
      }
      free.set(worker, left);
    }
    return { free, used };
  }

  /** Is there room for one more task of an array, or for all that a gang or service still lacks? */
  private hasRoom(spec: SimJob["spec"], { free, used }: Usage): boolean {
    const live = this.options.fleet.liveTasks(spec.ref);
    const needed = spec.form === "array" ? 1 : spec.spores - live.length;
    const team = spec.crew as TeamName;
    const limit = this.options.limits[team];
    if (used[team].cores + needed * spec.cores > limit.cpus) return false;
    if (used[team].gpus + needed * spec.gpus > limit.gpus) return false;
    const roomByZone = [...countRoomByZone(spec, free)].map(([zone, room]) => {
      const liveInZone = live.filter(({ worker }) => worker.machine.zone === zone).length;
      if (spec.together && live.length > liveInZone) return 0;
      return spec.scatter ? Math.min(room, Math.ceil(spec.spores / 2) - liveInZone) : room;
    });
    const room = spec.together
      ? Math.max(0, ...roomByZone)
      : roomByZone.reduce((total, inZone) => total + inZone, 0);
    return room >= needed;
  }
}

function noResources(): Resources {
  return { cores: 0, gpus: 0, memoryGb: 0 };
}

/** Adds what so many of the job's tasks need. */
function addTasks(to: Resources, spec: SimJob["spec"], count: number): void {
  to.cores += count * spec.cores;
  to.gpus += count * spec.gpus;
  to.memoryGb += count * spec.memoryGb;
}

/** How many of the job's tasks fit beside what runs, in each zone. */
function countRoomByZone(spec: SimJob["spec"], free: Map<SimWorker, Resources>): Map<string, number> {
  const roomByZone = new Map<string, number>();
  for (const [worker, left] of free) {
    if (!allowsMachine(spec, worker)) continue;
    const { zone } = worker.machine;
    const fits = Math.min(
      left.cores / spec.cores,
      left.memoryGb / spec.memoryGb,
      spec.gpus > 0 ? left.gpus / spec.gpus : Infinity,
    );
    roomByZone.set(zone, (roomByZone.get(zone) ?? 0) + Math.max(0, Math.floor(fits)));
  }
  return roomByZone;
}
