import type { JobSpec, MachineType } from "../../protocol/model.js";
import type { Attempt, Job, Machine } from "../../bookkeeping/workload.js";
import { log } from "../../transport/log.js";
import { jobLooksFaulty } from "./failureDetection.js";
import type { Estimates } from "./estimates.js";
import { place } from "./placement.js";
import type { PlacementPlan } from "./placementPlan.js";
import { quotaView } from "./quotaView.js";
import {
  EARLY_START_TASKS,
  serveOrder,
  completionTargetsS,
  jobsWithinGuarantee,
  type QueueEntry,
} from "./queue.js";
import type { QuotaUsage } from "../../bookkeeping/quotaUsage.js";
import type { Objective } from "../../settings/platform.js";
import type { Clock } from "../../transport/clock.js";
import type { Attempts } from "../term/attempts.js";
import type { CycleRequests } from "../term/cycleRequests.js";
import type { JobRegistry } from "../term/jobRegistry.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import type { WriteRequests } from "../term/writeQueue.js";
import { Reservations } from "./reservations.js";
import { emptyMachineView, type JobView, type MachineView, type VictimView } from "./views.js";

/**
 * Cycles are no closer together than this, nor than some times what the last one took: what ends or comes meanwhile is
 * placed in company. Several times a cycle's own length left the leader of 627 machines no time for anything else.
 */
const MIN_CYCLE_GAP_MS = 50;
const CYCLE_GAP_FACTOR = 10;
const MAX_CYCLE_GAP_MS = 400;
/** A leader whose timers are this late has more pressing work waiting, and pauses for longer after a long cycle. */
const BEHIND_MS = 200;
const MAX_CYCLE_GAP_BEHIND_MS = 1500;
/** Targets that are at least so many times apart leave a long time in which a job is nobody's concern. */
const FAR_APART = 2.5;
/** A job is late from this part of its class's loosest target on. */
const LATE_FRACTION = 0.6;
/** The largest have to begin within four minutes, whatever their priority. */
const OVERDUE_S = 150;
/** A start that is stopped sooner than that is none. */
const BEGIN_KEEP_MS = 33_000;
/** Tasks of a job that fails wherever it starts. */
const MISTAKEN_AT_ONCE = 2;
/** Most machines are up within one and a half times their type's boot time. */
const LATE_BOOT_TIMES = 1.7;

/** A machine type that was asked of the cloud and has not come up yet. */
export interface OpenOrder {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** What the scheduler asks of whoever scales the fleet. */
export interface FleetScaling {
  readonly openOrders: ReadonlyMap<string, OpenOrder>;
  /** Nothing that the job could use is to be had in that zone at present. */
  isEverythingRefused(spec: JobSpec, zone: string, nowMs: number): boolean;
  /** Scales out for what the plan left unplaced; `incoming`: machines that are on their way already. */
  scaleOut(plan: PlacementPlan, incoming: MachineView[]): void;
}

/** Where moves of consolidation want jobs to start again, by job. */
export type PreferredMachines = ReadonlyMap<string, { machine: string; untilMs: number }>;

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

/** Owns the scheduling cycles: takes a snapshot, has the decisions made, carries them out. */
export class Scheduler {
  private guaranteedOf = -1;
  private guaranteedJobs = new Set<Job>();
  private readonly targetCache = new WeakMap<Job, number[]>();
  /** As they were built last; rebuilt when the machine has changed or a cycle has written on them. */
  private readonly views = new Map<
    string,
    { of: Machine; changes: number; claims: number; view: MachineView }
  >();

  constructor(private readonly context: SchedulerContext) {}

  runCycle(): void {
    const { lease, jobs, estimates, cycles } = this.context;
    cycles.takeDue();
    if (!lease.isLoaded || !lease.mayWrite() || !estimates.areTypesKnown) return;
    const now = this.context.clock.nowMs();
    const guaranteed = this.guaranteed();
    const entries: QueueEntry[] = [];
    for (const job of jobs.values()) {
      if (job.isCancelled || job.pendingCount <= 0 || job.notBeforeMs > now) continue;
      entries.push(this.entry(job, guaranteed.has(job), now));
    }
    if (entries.length > 0) this.place(entries, guaranteed, now);
    const endMs = this.context.clock.nowMs();
    cycles.pauseUntil(endMs + cycleGapMs(endMs - now, this.context.lagMs()));
  }

  private place(entries: QueueEntry[], guaranteed: Set<Job>, now: number): void {
    const { jobs, machines: registry, usage, provisioner, estimates, reservations } = this.context;
    const inOrder = serveOrder(entries, this.capacities(), (name, gpus) => {
      const team = usage.teams.get(name);
      return (gpus ? team?.maxGpus : team?.maxCpus) ?? 0;
    });
    const machines: MachineView[] = [];
    const incoming: MachineView[] = [];
    for (const machine of registry.values()) {
      if (
        !machine.type ||
        machine.state === "leaving" ||
        machine.isCordoned ||
        machine.interruptionAtMs !== null
      )
        continue;
      // What is on its way is written on by the renter as well: made anew each time.
      if (machine.state === "booting") {
        if (!isOverdueToBoot(machine, now)) incoming.push(this.build(machine, machine.type));
      }
      // It may answer commands and reach no controller with its reports: what is started there dies with its lease.
      else if (machine.isReachable && now - machine.lastHeartbeatMs < this.context.suspectS * 1000)
        machines.push(this.view(machine, machine.type));
    }
    for (const order of provisioner.openOrders.values()) {
      const type = estimates.typeNamed(order.type);
      if (!type) continue;
      for (let i = 0; i < order.count; i++)
        incoming.push(
          emptyMachineView(type, order.zone, order.spot, estimates.acceleratorReserveOn(type, order.spot)),
        );
    }
    let lowest = Infinity;
    let borrowing = false;
    for (const job of jobs.values()) {
      if (job.attempts.size === 0) continue;
      lowest = Math.min(lowest, job.spec.priority);
      borrowing ||= !guaranteed.has(job);
    }
    const plan = place({
      jobs: inOrder.map((e) => this.jobView(e, now)),
      machines,
      incoming,
      reservations: reservations.active(now),
      quota: quotaView(usage, jobs.byId),
      maxEvictions: 40,
      maxPreemptors: 8,
      canPreemptFor: (j) => lowest < j.spec.priority || (j.isGuaranteed && borrowing),
      isRefused: (spec, zone) => provisioner.isEverythingRefused(spec, zone, now),
      isGuaranteed: (id) => {
        const job = jobs.get(id);
        return job !== undefined && guaranteed.has(job);
      },
      interruptionsPerHour: estimates.interruptionsPerHour,
      nowMs: now,
    });
    for (const v of plan.modifiedMachines) this.views.delete(v.name);
    reservations.replace(plan.reservations, now);
    this.carryOut(plan, now);
    provisioner.scaleOut(plan, incoming);
  }

  private guaranteed(): Set<Job> {
    const { jobs, usage } = this.context;
    if (this.guaranteedOf !== jobs.revision) {
      this.guaranteedOf = jobs.revision;
      this.guaranteedJobs = jobsWithinGuarantee(jobs.values(), usage.teams);
    }
    return this.guaranteedJobs;
  }

  private entry(job: Job, isGuaranteed: boolean, now: number): QueueEntry {
    const { spec } = job;
    const taskS = Math.max(1, this.context.estimates.runTimes.expectedS(spec.className, spec.estimateS));
    const agoS = (now - job.submittedMs) / 1000;
    let runningS = 0;
    for (const attempt of job.attempts) {
      runningS += Math.max(1, taskS - (attempt.runningMs === null ? 0 : (now - attempt.runningMs) / 1000));
    }
    const waitedS = (now - job.submittedMs) / 1000;
    const isStarving =
      job.attempts.size === 0 && job.doneCount === 0 && waitedS > (spec.kind === "gang" ? 45 : 90);
    return {
      job,
      id: job.id,
      priority: spec.priority,
      isGuaranteed,
      targetsLeftS: this.targets(job).map((s) => s - agoS),
      taskS,
      needsGpus: spec.gpus > 0,
      isStarving,
      isStartOverdue: isStarving && spec.kind === "array" && waitedS > OVERDUE_S,
      isLate: waitedS > LATE_FRACTION * this.longestTargetS(spec.className),
      fairShareTasks: Infinity,
      taskLimit: Infinity,
      unfinishedTasks: job.pendingCount + job.attempts.size,
      demand: (spec.gpus || spec.cpus) * (job.pendingCount + job.attempts.size),
      remainingWork: (spec.gpus || spec.cpus) * (job.pendingCount * taskS + runningS),
      acceptedAtMs: job.acceptedAt.getTime(),
    };
  }

  /**
   * The longest that the operator wants anything of that class to take; a job's own deadline says nothing of it. Where
   * a tighter target is not far from it, those who stepped back are tried again soon enough as it is: Infinity.
   */
  private longestTargetS(className: string): number {
    let longestS = 0;
    for (const objective of this.context.objectives) {
      if (objective.className === className && (objective.kind === "finished" || objective.kind === "wait"))
        longestS = Math.max(longestS, objective.withinS ?? 0);
    }
    const near = this.context.objectives.some(
      (o) =>
        o.className === className &&
        o.kind === "finished" &&
        o.withinS !== null &&
        o.withinS < longestS &&
        o.withinS * FAR_APART > longestS,
    );
    return longestS > 0 && !near ? longestS : Infinity;
  }

  private targets(job: Job): number[] {
    let targets = this.targetCache.get(job);
    if (!targets) {
      targets = completionTargetsS(job.spec.className, job.spec.deadlineS, this.context.objectives);
      this.targetCache.set(job, targets);
    }
    return targets;
  }

  /** What work of a priority can count on: everything but what higher work and, for cpus, accelerators take. */
  private capacities(): (priority: number, gpus: boolean) => number {
    const all = { cpus: 0, gpus: 0 };
    for (const machine of this.context.machines.values()) {
      if (!machine.type || machine.state === "leaving" || machine.isCordoned) continue;
      all.gpus += machine.type.gpus;
      if (machine.type.gpus === 0 || !this.context.estimates.acceleratorReserveOn(machine.type, machine.spot))
        all.cpus += machine.type.cpus;
    }
    // Counted by jobs, not by attempts: there are ten times as many of those.
    const used = new Map<number, { cpus: number; gpus: number }>();
    for (const { spec, attempts } of this.context.jobs.values()) {
      if (attempts.size === 0) continue;
      const u = used.get(spec.priority) ?? { cpus: 0, gpus: 0 };
      u.gpus += spec.gpus * attempts.size;
      if (spec.gpus === 0) u.cpus += spec.cpus * attempts.size;
      used.set(spec.priority, u);
    }
    return (priority, gpus) => {
      let room = gpus ? all.gpus : all.cpus;
      for (const [other, u] of used) if (other > priority) room -= gpus ? u.gpus : u.cpus;
      return room;
    };
  }

  private jobView(entry: QueueEntry, now: number): JobView {
    const zones = new Map<string, number>();
    for (const a of entry.job.attempts) zones.set(a.machine.zone, (zones.get(a.machine.zone) ?? 0) + 1);
    const avoid = new Set<string>();
    for (const [name, untilMs] of entry.job.avoidedUntilMs) {
      if (untilMs > now) avoid.add(name);
      else entry.job.avoidedUntilMs.delete(name);
    }
    const prefer = this.context.preferredMachines.get(entry.job.id);
    return {
      spec: entry.job.spec,
      pending: entry.job.pendingCount,
      taskLimit: this.limit(entry),
      fairShareTasks: Math.max(0, entry.fairShareTasks - entry.job.attempts.size),
      taskS: entry.job.spec.kind === "service" ? Infinity : entry.taskS,
      hasWaitedLong: entry.isStarving,
      isGuaranteed: entry.isGuaranteed,
      zones,
      avoid,
      waitTargetLeftS: this.quickS(entry.job, now),
      preferredMachine: prefer && prefer.untilMs > now ? prefer.machine : null,
    };
  }

  /** Tasks to place now: the first of an array that has waited long, or what its part of the room still holds. */
  private limit(entry: QueueEntry): number {
    const { spec, attempts } = entry.job;
    // It may yet be right somewhere; until it is, the room is for others.
    if (spec.kind !== "gang" && jobLooksFaulty(entry.job))
      return Math.max(0, MISTAKEN_AT_ONCE - attempts.size);
    if (entry.isStarving && spec.kind === "array")
      return Math.min(entry.taskLimit, Math.max(4, Math.ceil(spec.tasks / 8)));
    return spec.kind === "array" ? Math.max(0, entry.taskLimit - attempts.size) : Infinity;
  }

  private quickS(job: Job, now: number): number | null {
    for (const objective of this.context.objectives) {
      if (
        objective.kind !== "wait" ||
        objective.className !== job.spec.className ||
        objective.withinS === null
      )
        continue;
      const leftS = objective.withinS - (now - job.submittedMs) / 1000;
      return leftS > 0 ? leftS : null;
    }
    return null;
  }

  private view(machine: Machine, type: MachineType): MachineView {
    const known = this.views.get(machine.name);
    if (
      known?.of === machine &&
      known.changes === machine.revision &&
      known.claims === this.context.estimates.acceleratorReserveRevision &&
      known.view.type === type
    ) {
      return known.view;
    }
    const view = this.build(machine, type);
    this.views.set(machine.name, {
      of: machine,
      changes: machine.revision,
      claims: this.context.estimates.acceleratorReserveRevision,
      view,
    });
    return view;
  }

  private build(machine: Machine, type: MachineType): MachineView {
    const view = emptyMachineView(
      type,
      machine.zone,
      machine.spot,
      this.context.estimates.acceleratorReserveOn(type, machine.spot),
    );
    view.name = machine.name;
    view.idleSinceMs = machine.state === "up" ? machine.idleSinceMs : null;
    view.free.cpus -= machine.used.cpus;
    view.free.gpus -= machine.used.gpus;
    view.free.memoryGb -= machine.used.memoryGb;
    for (const image of machine.images.fetchedImages()) view.images.add(image);
    for (const image of machine.images.fetchingImages()) view.fetching.add(image);
    view.backlogGb = machine.images.backlogGb();
    view.zoneHasController = this.context.estimates.controllerZones.has(machine.zone);
    for (const attempt of machine.attempts) {
      const { spec } = attempt.job;
      view.runsGpuWork ||= spec.gpus > 0;
      if (machine.images.isFetching(spec.image))
        view.fetchPriority = Math.max(view.fetchPriority, spec.priority);
      if (!attempt.stop) continue;
      view.stopping.cpus += spec.cpus;
      view.stopping.gpus += spec.gpus;
      view.stopping.memoryGb += spec.memoryGb;
    }
    let victims: VictimView[] | null = null;
    view.victims = () => (victims ??= victimsOn(machine));
    view.freeInS = (nowMs) => {
      let last = 0;
      for (const a of machine.attempts) last = Math.max(last, this.leftS(a, nowMs));
      return last;
    };
    return view;
  }

  private leftS(attempt: Attempt, nowMs: number): number {
    const { spec } = attempt.job;
    if (spec.kind === "service") return 3600;
    const ranS = attempt.runningMs === null ? 0 : (nowMs - attempt.runningMs) / 1000;
    return Math.max(3, this.context.estimates.runTimes.expectedS(spec.className, spec.estimateS) - ranS);
  }

  private carryOut(plan: PlacementPlan, now: number): void {
    for (const placement of plan.placements) {
      const job = this.context.jobs.get(placement.jobId);
      const machine = this.context.machines.get(placement.machine);
      if (!job || !machine) continue;
      for (let i = 0; i < placement.tasks; i++) {
        const task = job.takePending();
        if (task === null) break;
        const chunk = job.chunkOf(task);
        // A gang's tasks find one another by their attempt number: one for all of them.
        const number = job.spec.kind === "gang" ? this.gangAttempt(job) : this.context.attempts.nextNumber();
        this.context.attempts.attach({
          job,
          task,
          number,
          machine,
          isDurable: false,
          isInherited: false,
          sentToken: -1,
          sentEpoch: 0,
          sentMs: -Infinity,
          phase: null,
          plannedMs: now,
          runningMs: null,
          stop: null,
        });
        chunk.isDirty = true;
        chunk.isUrgent = true;
      }
      log.debug(() => `${job.id}: ${placement.tasks} on ${machine.name}`);
    }
    if (plan.placements.length > 0) this.context.writes.requestWrite(0);
    for (const e of plan.evictions) {
      const a = e.ref as Attempt;
      if (a.stop || !a.machine.attempts.has(a)) continue;
      const by = this.context.jobs.get(e.jobId);
      const quickS = by ? this.quickS(by, now) : null;
      log.debug(() => `${a.job.id}/${a.task} makes room on ${a.machine.name} for ${e.jobId}`);
      // Who has to begin at once can't wait until a checkpoint is written: what ran since the last one is lost instead.
      if (quickS !== null && quickS < a.job.spec.saveS + 1 && a.job.spec.kind === "array")
        this.context.attempts.stopAttempt(a, 0);
      else this.context.attempts.stopGracefully(a);
    }
  }

  private gangAttempt(job: Job): number {
    for (const a of job.attempts) return a.number;
    return this.context.attempts.nextNumber();
  }
}

/**
 * Long past its type's boot time nobody counts on it any more, so another is rented in its place; should it come up
 * after all, it is used. One that has been up before is not late but silent: cut off, say, and back in a while. Pure.
 */
export function isOverdueToBoot(machine: Machine, nowMs: number): boolean {
  if (machine.isListedAsRunning || machine.attempts.size > 0 || !machine.type) return false;
  return nowMs - machine.createdMs > (machine.type.bootS * LATE_BOOT_TIMES + 3) * 1000;
}

/** What runs there and may be stopped one by one. */
function victimsOn(machine: Machine): VictimView[] {
  const out: VictimView[] = [];
  for (const attempt of machine.attempts) {
    const { spec } = attempt.job;
    // A gang is no single victim here: stopping one member ends them all.
    if (attempt.stop || (spec.kind === "gang" && spec.tasks > 1)) continue;
    out.push({
      ref: attempt,
      jobId: attempt.job.id,
      team: spec.team,
      priority: spec.priority,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      lossS: (nowMs) => lossOf(attempt, nowMs),
    });
  }
  return out;
}

/**
 * The pause after a cycle: whatever else there is to do gets its turn then. On a small share of a core a cycle takes half a
 * second; with pauses of 400 ms at the most, a new leader spent most of its share on cycles while workers' leases ran
 * out. Pure.
 */
export function cycleGapMs(lengthMs: number, lagMs: number): number {
  const longestMs = lagMs > BEHIND_MS ? MAX_CYCLE_GAP_BEHIND_MS : MAX_CYCLE_GAP_MS;
  return Math.min(longestMs, Math.max(MIN_CYCLE_GAP_MS, lengthMs * CYCLE_GAP_FACTOR));
}

/**
 * What began out of turn goes on for a while: stopped for higher work again and again within seconds, a job of the lowest
 * priority would never have begun in its users' eyes. Pure.
 */
export function hasJustBegun(job: Job, nowMs: number): boolean {
  if (
    job.doneCount > 0 ||
    job.attempts.size > EARLY_START_TASKS ||
    nowMs - job.submittedMs < OVERDUE_S * 1000
  )
    return false;
  for (const a of job.attempts) if (a.runningMs !== null && nowMs - a.runningMs > BEGIN_KEEP_MS) return false;
  return job.spec.kind === "array";
}

/** Seconds of work that stopping the attempt throws away; Infinity: it may not be stopped. */
function lossOf(attempt: Attempt, nowMs: number): number {
  const { spec } = attempt.job;
  if (hasJustBegun(attempt.job, nowMs)) return Infinity;
  if (spec.kind === "service") return 600;
  if (attempt.runningMs === null) return 1;
  const ranS = (nowMs - attempt.runningMs) / 1000;
  return spec.checkpointS > 0 ? spec.saveS + 2 : ranS;
}
