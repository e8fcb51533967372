import type { MachineType } from "../../protocol/model.js";
import type { Attempt, Job } from "../../bookkeeping/jobs.js";
import type { Machine } from "../../bookkeeping/machines.js";
import { log } from "../../transport/log.js";
import type { LeaderOptions } from "../leadership/leader.js";
import { looksMistaken } from "./failureDetection.js";
import type { Estimates } from "./estimates.js";
import { place } from "./placement.js";
import type { PlacementPlan, Reservation } from "./placementPlan.js";
import { quotaView } from "./quotaView.js";
import { EARLY_TASKS, serveOrder, targetsS, withinGuarantee, type QueueEntry } from "./queue.js";
import type { LeaderTerm } from "../leadership/leaderTerm.js";
import { emptyView, type JobView, type MachineView, type VictimView } from "./views.js";

const CYCLE_DELAY_MS = 3;
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
/** Room that others were stopped for is kept so long; a gang's so long, while the rest of it comes. */
const RESERVATION_MS = 6000;
const GANG_RESERVATION_MS = 180_000;

/** The largest have to begin within four minutes, whatever their priority. */
const OVERDUE_S = 150;
/** A start that is stopped sooner than that is none. */
const BEGIN_KEEP_MS = 33_000;
/** Tasks of a job that fails wherever it starts. */
const MISTAKEN_AT_ONCE = 2;
/** Most machines are up within one and a half times their type's boot time. */
const LATE_BOOT_TIMES = 1.7;

/** Owns the scheduling cycles: takes a snapshot, has the decisions made, carries them out. */
export class Scheduler {
  private cycleRequested = false;
  private nextCycleMs = -Infinity;
  private reservations: (Reservation & { untilMs: number })[] = [];
  private guaranteedOf = -1;
  private guaranteedJobs = new Set<Job>();
  private readonly targetCache = new WeakMap<Job, number[]>();
  /** As they were built last; rebuilt when the machine has changed or a cycle has written on them. */
  private readonly views = new Map<
    string,
    { of: Machine; changes: number; claims: number; view: MachineView }
  >();

  constructor(
    private readonly leaderTerm: LeaderTerm,
    private readonly options: LeaderOptions,
    private readonly estimates: Estimates,
  ) {}

  requestCycle(): void {
    if (this.cycleRequested) return;
    this.cycleRequested = true;
    const { term } = this.leaderTerm.lease;
    const waitMs = Math.max(CYCLE_DELAY_MS, this.nextCycleMs - this.options.clock.nowMs());
    this.options.clock.after(waitMs, () => this.options.tell({ kind: "cycle", term }));
  }

  runCycle(): void {
    this.cycleRequested = false;
    const { leaderTerm, estimates } = this;
    if (!leaderTerm.loaded || !leaderTerm.mayWrite() || !estimates.typesKnown) return;
    const now = this.options.clock.nowMs();
    const guaranteed = this.guaranteed();
    const entries: QueueEntry[] = [];
    for (const job of leaderTerm.jobs.values()) {
      if (job.cancelled || job.pending <= 0 || job.notBeforeMs > now) continue;
      entries.push(this.entry(job, guaranteed.has(job), now));
    }
    if (entries.length > 0) this.place(entries, guaranteed, now);
    const endMs = this.options.clock.nowMs();
    this.nextCycleMs = endMs + cycleGapMs(endMs - now, this.options.lagMs());
  }

  private place(entries: QueueEntry[], guaranteed: Set<Job>, now: number): void {
    const { leaderTerm, estimates } = this;
    const inOrder = serveOrder(entries, this.capacities(), (name, gpus) => {
      const team = leaderTerm.usage.teams.get(name);
      return (gpus ? team?.gpusMax : team?.cpusMax) ?? 0;
    });
    const machines: MachineView[] = [];
    const coming: MachineView[] = [];
    for (const machine of leaderTerm.machines.values()) {
      if (!machine.type || machine.state === "leaving" || machine.cordoned || machine.takenAtMs !== null)
        continue;
      // What is on its way is written on by the renter as well: made anew each time.
      if (machine.state === "booting") {
        if (!isLate(machine, now)) coming.push(this.build(machine, machine.type));
      }
      // It may answer commands and reach no controller with its reports: what is started there dies with its lease.
      else if (machine.hears && now - machine.lastReportMs < this.options.operator.suspectS * 1000)
        machines.push(this.view(machine, machine.type));
    }
    for (const order of leaderTerm.provisioner.openOrders.values()) {
      const type = estimates.typeNamed(order.type);
      if (!type) continue;
      for (let i = 0; i < order.count; i++)
        coming.push(emptyView(type, order.zone, order.spot, estimates.claimOn(type, order.spot)));
    }
    let lowest = Infinity;
    let borrowing = false;
    for (const job of leaderTerm.jobs.values()) {
      if (job.attempts.size === 0) continue;
      lowest = Math.min(lowest, job.spec.priority);
      borrowing ||= !guaranteed.has(job);
    }
    const plan = place({
      jobs: inOrder.map((e) => this.jobView(e, now)),
      machines,
      coming,
      reservations: this.reservations.filter((h) => h.untilMs > now),
      quota: quotaView(leaderTerm.usage, leaderTerm.jobs),
      maxEvictions: 40,
      maxPreemptors: 8,
      mayStop: (j) => lowest < j.spec.priority || (j.guaranteed && borrowing),
      refused: (spec, zone) => leaderTerm.provisioner.refusedAll(spec, zone, now),
      guaranteed: (id) => {
        const job = leaderTerm.jobs.get(id);
        return job !== undefined && guaranteed.has(job);
      },
      takenPerH: estimates.takenPerH,
      nowMs: now,
    });
    for (const v of plan.touched) this.views.delete(v.name);
    this.keepReservations(plan.reservations, now);
    this.carryOut(plan, now);
    leaderTerm.provisioner.rent(plan, coming);
  }

  /** Room there is kept for somebody, so it is not idle. */
  hasReservationOn(machine: string): boolean {
    return this.reservations.some((h) => h.machine === machine);
  }

  /** A reservation lasts a while from when it was first made, so that nothing is kept for ever for a job that can't come. */
  private keepReservations(reservations: Reservation[], now: number): void {
    const before = new Map(this.reservations.map((h) => [`${h.jobId} ${h.machine}`, h.untilMs]));
    this.reservations = reservations.map((reservation) => {
      const job = this.leaderTerm.jobs.get(reservation.jobId);
      const forMs = job?.spec.kind === "gang" ? GANG_RESERVATION_MS : RESERVATION_MS;
      return {
        ...reservation,
        untilMs: before.get(`${reservation.jobId} ${reservation.machine}`) ?? now + forMs,
      };
    });
  }

  private guaranteed(): Set<Job> {
    const { leaderTerm } = this;
    if (this.guaranteedOf !== leaderTerm.jobsVersion) {
      this.guaranteedOf = leaderTerm.jobsVersion;
      this.guaranteedJobs = withinGuarantee(leaderTerm.jobs.values(), leaderTerm.usage.teams);
    }
    return this.guaranteedJobs;
  }

  private entry(job: Job, guaranteed: boolean, now: number): QueueEntry {
    const { spec } = job;
    const taskS = Math.max(1, this.estimates.learner.expectedS(spec.className, spec.estimateS));
    const agoS = (now - job.bornMs) / 1000;
    let runningS = 0;
    for (const attempt of job.attempts) {
      runningS += Math.max(1, taskS - (attempt.runningMs === null ? 0 : (now - attempt.runningMs) / 1000));
    }
    const waitedS = (now - job.bornMs) / 1000;
    const aged = job.attempts.size === 0 && job.doneCount === 0 && waitedS > (spec.kind === "gang" ? 45 : 90);
    return {
      job,
      id: job.id,
      priority: spec.priority,
      guaranteed,
      targetsLeftS: this.targets(job).map((s) => s - agoS),
      taskS,
      gpus: spec.gpus > 0,
      aged,
      overdue: aged && spec.kind === "array" && waitedS > OVERDUE_S,
      late: waitedS > LATE_FRACTION * this.longestTargetS(spec.className),
      fairShare: Infinity,
      allowed: Infinity,
      tasks: job.pending + job.attempts.size,
      width: (spec.gpus || spec.cpus) * (job.pending + job.attempts.size),
      work: (spec.gpus || spec.cpus) * (job.pending * taskS + runningS),
      since: job.acceptedAt.getTime(),
    };
  }

  /**
   * The longest that the operator wants anything of that class to take; a job's own deadline says nothing of it. Where
   * a tighter target is not far from it, those who stepped back are tried again soon enough as it is: Infinity.
   */
  private longestTargetS(className: string): number {
    let longestS = 0;
    for (const objective of this.options.platform.objectives) {
      if (objective.className === className && (objective.kind === "finished" || objective.kind === "wait"))
        longestS = Math.max(longestS, objective.withinS ?? 0);
    }
    const near = this.options.platform.objectives.some(
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
      targets = targetsS(job.spec.className, job.spec.deadlineS, this.options.platform.objectives);
      this.targetCache.set(job, targets);
    }
    return targets;
  }

  /** What work of a priority can count on: everything but what higher work and, for cpus, accelerators take. */
  private capacities(): (priority: number, gpus: boolean) => number {
    const all = { cpus: 0, gpus: 0 };
    for (const machine of this.leaderTerm.machines.values()) {
      if (!machine.type || machine.state === "leaving" || machine.cordoned) continue;
      all.gpus += machine.type.gpus;
      if (machine.type.gpus === 0 || !this.estimates.claimOn(machine.type, machine.spot))
        all.cpus += machine.type.cpus;
    }
    // Counted by jobs, not by attempts: there are ten times as many of those.
    const used = new Map<number, { cpus: number; gpus: number }>();
    for (const { spec, attempts } of this.leaderTerm.jobs.values()) {
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
    for (const [name, untilMs] of entry.job.avoid) {
      if (untilMs > now) avoid.add(name);
      else entry.job.avoid.delete(name);
    }
    const prefer = this.leaderTerm.rounds.prefer.get(entry.job.id);
    return {
      spec: entry.job.spec,
      pending: entry.job.pending,
      limit: this.limit(entry),
      share: Math.max(0, entry.fairShare - entry.job.attempts.size),
      taskS: entry.job.spec.kind === "service" ? Infinity : entry.taskS,
      aged: entry.aged,
      guaranteed: entry.guaranteed,
      zones,
      avoid,
      quickS: this.quickS(entry.job, now),
      prefer: prefer && prefer.untilMs > now ? prefer.machine : null,
    };
  }

  /** Tasks to place now: the first of an array that has waited long, or what its part of the room still holds. */
  private limit(entry: QueueEntry): number {
    const { spec, attempts } = entry.job;
    // It may yet be right somewhere; until it is, the room is for others.
    if (spec.kind !== "gang" && looksMistaken(entry.job))
      return Math.max(0, MISTAKEN_AT_ONCE - attempts.size);
    if (entry.aged && spec.kind === "array")
      return Math.min(entry.allowed, Math.max(4, Math.ceil(spec.tasks / 8)));
    return spec.kind === "array" ? Math.max(0, entry.allowed - attempts.size) : Infinity;
  }

  private quickS(job: Job, now: number): number | null {
    for (const objective of this.options.platform.objectives) {
      if (
        objective.kind !== "wait" ||
        objective.className !== job.spec.className ||
        objective.withinS === null
      )
        continue;
      const leftS = objective.withinS - (now - job.bornMs) / 1000;
      return leftS > 0 ? leftS : null;
    }
    return null;
  }

  private view(machine: Machine, type: MachineType): MachineView {
    const known = this.views.get(machine.name);
    if (
      known?.of === machine &&
      known.changes === machine.changes &&
      known.claims === this.estimates.claims &&
      known.view.type === type
    ) {
      return known.view;
    }
    const view = this.build(machine, type);
    this.views.set(machine.name, {
      of: machine,
      changes: machine.changes,
      claims: this.estimates.claims,
      view,
    });
    return view;
  }

  private build(machine: Machine, type: MachineType): MachineView {
    const view = emptyView(type, machine.zone, machine.spot, this.estimates.claimOn(type, machine.spot));
    view.name = machine.name;
    view.idleSinceMs = machine.state === "up" ? machine.idleSinceMs : null;
    view.free.cpus -= machine.used.cpus;
    view.free.gpus -= machine.used.gpus;
    view.free.memoryGb -= machine.used.memoryGb;
    for (const image of machine.images.keys()) if (machine.hasImage(image)) view.images.add(image);
    for (const image of machine.fetching.keys()) view.fetching.add(image);
    view.backlogGb = machine.fetchBacklogGb();
    view.withControllers = this.estimates.controllerZones.has(machine.zone);
    for (const attempt of machine.attempts) {
      const { spec } = attempt.job;
      view.gpuBusy ||= spec.gpus > 0;
      if (machine.fetching.has(spec.image)) view.fetchRank = Math.max(view.fetchRank, spec.priority);
      if (!attempt.stop) continue;
      view.leaving.cpus += spec.cpus;
      view.leaving.gpus += spec.gpus;
      view.leaving.memoryGb += spec.memoryGb;
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
    return Math.max(3, this.estimates.learner.expectedS(spec.className, spec.estimateS) - ranS);
  }

  private carryOut(plan: PlacementPlan, now: number): void {
    for (const placement of plan.placements) {
      const job = this.leaderTerm.jobs.get(placement.jobId);
      const machine = this.leaderTerm.machines.get(placement.machine);
      if (!job || !machine) continue;
      for (let i = 0; i < placement.tasks; i++) {
        const task = job.takePending();
        if (task === null) break;
        const chunk = job.chunkOf(task);
        // A gang's tasks find one another by their attempt number: one for all of them.
        const attempt = job.spec.kind === "gang" ? this.gangAttempt(job) : this.leaderTerm.nextAttempt++;
        this.leaderTerm.attempts.attach({
          job,
          task,
          attempt,
          machine,
          durable: false,
          inherited: false,
          sentToken: -1,
          sentSession: 0,
          sentMs: -Infinity,
          phase: null,
          plannedMs: now,
          runningMs: null,
          stop: null,
        });
        chunk.dirty = true;
        chunk.urgent = true;
      }
      log.debug(() => `${job.id}: ${placement.tasks} on ${machine.name}`);
    }
    if (plan.placements.length > 0) this.leaderTerm.recordStore.requestWrite(0);
    for (const e of plan.evictions) {
      const a = e.ref as Attempt;
      if (a.stop || !a.machine.attempts.has(a)) continue;
      const by = this.leaderTerm.jobs.get(e.jobId);
      const quickS = by ? this.quickS(by, now) : null;
      log.debug(() => `${a.job.id}/${a.task} makes room on ${a.machine.name} for ${e.jobId}`);
      // Who has to begin at once can't wait until a checkpoint is written: what ran since the last one is lost instead.
      if (quickS !== null && quickS < a.job.spec.saveS + 1 && a.job.spec.kind === "array")
        this.leaderTerm.attempts.stopAttempt(a, 0);
      else this.leaderTerm.attempts.stopOrderly(a);
    }
  }

  private gangAttempt(job: Job): number {
    for (const a of job.attempts) return a.attempt;
    return this.leaderTerm.nextAttempt++;
  }
}

/**
 * Long past its type's boot time nobody counts on it any more, so another is rented in its place; should it come up
 * after all, it is used. One that has been up before is not late but silent: cut off, say, and back in a while. Pure.
 */
export function isLate(machine: Machine, nowMs: number): boolean {
  if (machine.listedUp || machine.attempts.size > 0 || !machine.type) return false;
  return nowMs - machine.bornMs > (machine.type.bootS * LATE_BOOT_TIMES + 3) * 1000;
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
  if (job.doneCount > 0 || job.attempts.size > EARLY_TASKS || nowMs - job.bornMs < OVERDUE_S * 1000)
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
