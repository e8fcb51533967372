/** The scheduling cycle from top to bottom; its steps are pure functions over snapshots, in modules of their own. */
import type { JobSpec } from "../../protocol/model.js";
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { Job } from "../../bookkeeping/workload.js";
import type { Objective } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import type { Attempts } from "../term/attempts.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { WriteRequests } from "../term/writeQueue.js";
import { capacityByPriority } from "./capacities.js";
import { cycleGapMs } from "./cycleGap.js";
import type { Estimates } from "./estimates.js";
import { GuaranteedJobs } from "./guaranteedJobs.js";
import { jobViewOf, type PreferredMachines } from "./jobViews.js";
import { MachineSnapshots, type FleetSnapshot, type OpenOrder } from "./machineSnapshots.js";
import { place } from "./placement.js";
import type { PlacementPlan } from "./placementPlan.js";
import { PlanExecutor } from "./planExecutor.js";
import { mayPreempt, summarizePreemptibleWork } from "./preemptibleWork.js";
import { serveOrder } from "./queue.js";
import type { QueueEntry } from "./queueEntry.js";
import { QueueEntries } from "./queueEntries.js";
import { quotaView } from "./quotaView.js";
import type { Reservations } from "./reservations.js";
import type { JobView, MachineView } from "./views.js";

/** The most attempts that one cycle stops: what their ends change is seen before more are stopped. */
const MAX_EVICTIONS = 40;
/** The most jobs that one cycle seeks victims for: each search looks at every machine. */
const MAX_PREEMPTORS = 8;

/** What the scheduler asks of whoever scales the fleet. */
export interface FleetScaling {
  readonly openOrders: ReadonlyMap<string, OpenOrder>;
  /** The cloud has lately refused every machine in that zone that the job could use. */
  isEverythingRefused(spec: JobSpec, zone: string, nowMs: number): boolean;
  /** Scales out for what the plan left unplaced; `incoming`: machines that are booting or ordered already. */
  scaleOut(plan: PlacementPlan, incoming: MachineView[]): void;
}

/** What the scheduler uses of the term. */
export interface SchedulerContext {
  clock: Clock;
  lease: TermLease;
  jobs: JobRegistry;
  machines: MachineRegistry;
  usage: QuotaUsage;
  attempts: Attempts;
  writes: WriteRequests;
  cycles: CycleRequests;
  estimates: Estimates;
  provisioner: FleetScaling;
  preferredMachines: PreferredMachines;
  reservations: Reservations;
  objectives: Objective[];
  /** Seconds of silence after which nothing new is placed on a machine. */
  suspectS: number;
  /** How late this process's timers fire. */
  lagMs: () => number;
}

/** Owns the scheduling cycle: takes snapshots, orders the jobs, has them placed, carries the plan out, scales out. */
export class Scheduler {
  private readonly guaranteedJobs: GuaranteedJobs;
  private readonly queueEntries: QueueEntries;
  private readonly machineSnapshots: MachineSnapshots;
  private readonly executor: PlanExecutor;

  constructor(private readonly context: SchedulerContext) {
    this.guaranteedJobs = new GuaranteedJobs(context.jobs, context.usage);
    this.queueEntries = new QueueEntries(context);
    this.machineSnapshots = new MachineSnapshots(context);
    this.executor = new PlanExecutor(context);
  }

  /** Runs one cycle if this controller may write, and sets the pause before the next. */
  runCycle(): void {
    const { clock, cycles, lagMs } = this.context;
    cycles.clearRequest();
    if (!this.mayDecide()) return;
    const startMs = clock.nowMs();
    const guaranteed = this.guaranteedJobs.current();
    const waiting = this.queueEntries.ofWaitingJobs(guaranteed, startMs);
    if (waiting.length > 0) this.schedule(waiting, guaranteed, startMs);
    const endMs = clock.nowMs();
    cycles.pauseUntil(endMs + cycleGapMs(endMs - startMs, lagMs()));
  }

  private mayDecide(): boolean {
    const { lease, estimates } = this.context;
    return lease.isLoaded && lease.mayWrite() && estimates.areTypesKnown;
  }

  private schedule(waiting: QueueEntry[], guaranteed: ReadonlySet<Job>, nowMs: number): void {
    const { provisioner, reservations } = this.context;
    const ordered = this.inOrderOfService(waiting);
    const fleet = this.machineSnapshots.take(provisioner.openOrders, nowMs);
    const jobViews = ordered.map((entry) => jobViewOf(entry, this.context, nowMs));
    const plan = this.plan(jobViews, fleet, guaranteed, nowMs);
    this.machineSnapshots.invalidate(plan.modifiedMachines);
    reservations.replace(plan.reservations, nowMs);
    this.executor.execute(plan, nowMs);
    provisioner.scaleOut(plan, fleet.incoming);
  }

  private inOrderOfService(entries: QueueEntry[]): QueueEntry[] {
    const { jobs, machines, usage, estimates } = this.context;
    const capacityOf = capacityByPriority(machines.values(), jobs.values(), estimates);
    return serveOrder(entries, capacityOf, (teamName, ofGpus) => {
      const team = usage.teams.get(teamName);
      return (ofGpus ? team?.maxGpus : team?.maxCpus) ?? 0;
    });
  }

  private plan(
    jobViews: JobView[],
    { machines, incoming }: FleetSnapshot,
    guaranteed: ReadonlySet<Job>,
    nowMs: number,
  ): PlacementPlan {
    const { jobs, usage, provisioner, estimates, reservations } = this.context;
    const running = summarizePreemptibleWork(jobs.values(), guaranteed);
    return place({
      jobs: jobViews,
      machines,
      incoming,
      reservations: reservations.active(nowMs),
      quota: quotaView(usage, jobs.byId),
      maxEvictions: MAX_EVICTIONS,
      maxPreemptors: MAX_PREEMPTORS,
      canPreemptFor: (job) => mayPreempt(job, running),
      isCapacityRefused: (spec, zone) => provisioner.isEverythingRefused(spec, zone, nowMs),
      isGuaranteed: (jobId) => {
        const job = jobs.get(jobId);
        return job !== undefined && guaranteed.has(job);
      },
      interruptionsPerHour: estimates.interruptionsPerHour,
      nowMs,
    });
  }
}
