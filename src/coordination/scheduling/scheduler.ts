/** Runs scheduling cycles. The decisions of a cycle are made on snapshots, by modules of their own. */
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
import { schedulingOrder } from "./queue.js";
import type { QueueEntry } from "./queueEntry.js";
import { QueueEntryBuilder } from "./queueEntryBuilder.js";
import { quotaView } from "./quotaView.js";
import type { Reservations } from "./reservations.js";
import type { JobView, MachineView } from "./views.js";

/** The maximum number of attempts that one cycle stops, so that later cycles see the effect before they stop more. */
const MAX_EVICTIONS = 40;
/** The maximum number of victim searches in one cycle, for capacity and for quota: each search examines every machine. */
const MAX_VICTIM_SEARCHES = 8;

/** The part of provisioning that the scheduler depends on. */
export interface FleetScaler {
  /** Orders that the cloud has not answered yet, by idempotency key. */
  readonly openOrders: ReadonlyMap<string, OpenOrder>;
  /** Returns whether the cloud has recently refused every kind of machine that the job could use in the zone. */
  isCapacityRefused(spec: JobSpec, zone: string, nowMs: number): boolean;
  /** Scales out for the tasks that the plan left unplaced. `incoming` lists the machines that are booting or ordered. */
  scaleOut(plan: PlacementPlan, incoming: MachineView[]): void;
}

/** The parts of the term that the scheduler depends on. */
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
  provisioner: FleetScaler;
  preferredMachines: PreferredMachines;
  reservations: Reservations;
  objectives: Objective[];
  /** Seconds without an acknowledged heartbeat after which nothing new is placed on a machine. */
  suspectS: number;
  /** Returns the delay, in milliseconds, with which timers of this process fire. */
  lagMs: () => number;
}

/**
 * Owns the scheduling cycle: takes snapshots, orders the waiting jobs, plans their placement, executes the plan and scales
 * out for what it left unplaced. A cycle decides nothing unless the term's records and the machine types are loaded and
 * the leader may write.
 */
export class Scheduler {
  private readonly guaranteedJobs: GuaranteedJobs;
  private readonly queueEntryBuilder: QueueEntryBuilder;
  private readonly machineSnapshots: MachineSnapshots;
  private readonly executor: PlanExecutor;

  constructor(private readonly context: SchedulerContext) {
    this.guaranteedJobs = new GuaranteedJobs(context.jobs, context.usage);
    this.queueEntryBuilder = new QueueEntryBuilder(context);
    this.machineSnapshots = new MachineSnapshots(context);
    this.executor = new PlanExecutor(context);
  }

  /** Runs one cycle if the leader may schedule, and sets the earliest time of the next one. */
  runCycle(): void {
    const { clock, cycles, lagMs } = this.context;
    cycles.clearRequest();
    if (!this.maySchedule()) return;
    const startMs = clock.nowMs();
    const guaranteed = this.guaranteedJobs.current();
    const waiting = this.queueEntryBuilder.entriesForWaitingJobs(guaranteed, startMs);
    if (waiting.length > 0) this.schedule(waiting, guaranteed, startMs);
    const endMs = clock.nowMs();
    cycles.pauseUntil(endMs + cycleGapMs(endMs - startMs, lagMs()));
  }

  private maySchedule(): boolean {
    const { lease, estimates } = this.context;
    return lease.isLoaded && lease.mayWrite() && estimates.areTypesKnown;
  }

  private schedule(waiting: QueueEntry[], guaranteed: ReadonlySet<Job>, nowMs: number): void {
    const { provisioner, reservations } = this.context;
    const ordered = this.inSchedulingOrder(waiting);
    const fleet = this.machineSnapshots.take(provisioner.openOrders, nowMs);
    const jobViews = ordered.map((entry) => jobViewOf(entry, this.context, nowMs));
    const plan = this.plan(jobViews, fleet, guaranteed, nowMs);
    this.machineSnapshots.invalidate(plan.modifiedMachines);
    reservations.replace(plan.reservations, nowMs);
    this.executor.execute(plan, nowMs);
    provisioner.scaleOut(plan, fleet.incoming);
  }

  private inSchedulingOrder(entries: QueueEntry[]): QueueEntry[] {
    const { jobs, machines, usage, estimates } = this.context;
    const capacityOf = capacityByPriority(machines.values(), jobs.values(), estimates);
    return schedulingOrder(entries, capacityOf, (teamName, needsGpus) => {
      const team = usage.teams.get(teamName);
      return (needsGpus ? team?.maxGpus : team?.maxCpus) ?? 0;
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
      maxVictimSearches: MAX_VICTIM_SEARCHES,
      canPreemptFor: (job) => mayPreempt(job, running),
      isCapacityRefused: (spec, zone) => provisioner.isCapacityRefused(spec, zone, nowMs),
      isGuaranteed: (jobId) => {
        const job = jobs.get(jobId);
        return job !== undefined && guaranteed.has(job);
      },
      interruptionsPerHour: estimates.interruptionsPerHour,
      nowMs,
    });
  }
}
