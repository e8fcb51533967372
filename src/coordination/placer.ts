import type { MachineType } from "../protocol/model.js";
import type { Attempt, Job } from "../bookkeeping/jobs.js";
import type { Machine } from "../bookkeeping/machines.js";
import { log } from "../transport/log.js";
import type { LeaderOptions } from "./leader.js";
import { looksMistaken } from "./faults.js";
import type { Estimates } from "./estimates.js";
import { place, type Hold, type PlacementPlan } from "./placement.js";
import { quotaView } from "./quotaView.js";
import { BEGIN_TASKS, serveOrder, wishedS, withinGuarantee, type QueueEntry } from "./queue.js";
import type { LeaderTerm } from "./leaderTerm.js";
import { emptyView, type JobView, type MachineView, type VictimView } from "./views.js";

const PASS_DELAY_MS = 3;
/**
 * Passes are no closer together than this, nor than some times what the last one took: what ends or comes meanwhile is
 * placed in company. Several times a pass's own length left the leader of 627 machines no time for anything else.
 */
const GAP_MS = 50;
const GAP_TIMES = 10;
const MAX_GAP_MS = 400;
/** Wishes that are at least so many times apart leave a long time in which a job is nobody's concern. */
const FAR_APART = 2.5;
/** A job is late from this part of its class's loosest wish on. */
const LATE_PART = 0.6;
/** Room that others were stopped for is kept so long; a gang's so long, while the rest of it comes. */
const HOLD_MS = 6000;
const GANG_HOLD_MS = 180_000;

/** The largest have to begin within four minutes, whatever their priority. */
const OVERDUE_S = 150;
/** A start that is stopped sooner than that is none. */
const BEGIN_KEEP_MS = 33_000;
/** Tasks of a job that fails wherever it starts. */
const MISTAKEN_AT_ONCE = 2;
/** Most machines are up within one and a half times their type's boot time. */
const LATE_BOOT_TIMES = 1.7;

/** Owns the passes: takes a snapshot, has the decisions made, carries them out. */
export class Placer {
  private passSet = false;
  private nextPassMs = -Infinity;
  private holds: (Hold & { untilMs: number })[] = [];
  private guaranteedOf = -1;
  private guaranteedJobs = new Set<Job>();
  private readonly wished = new WeakMap<Job, number[]>();
  /** As they were built last; rebuilt when the machine has changed or a pass has written on them. */
  private readonly views = new Map<
    string,
    { of: Machine; changes: number; claims: number; view: MachineView }
  >();

  constructor(
    private readonly r: LeaderTerm,
    private readonly o: LeaderOptions,
    private readonly estimates: Estimates,
  ) {}

  requestPass(): void {
    if (this.passSet) return;
    this.passSet = true;
    const { term } = this.r.mandate;
    const waitMs = Math.max(PASS_DELAY_MS, this.nextPassMs - this.o.clock.nowMs());
    this.o.clock.after(waitMs, () => this.o.tell({ kind: "pass", term }));
  }

  pass(): void {
    this.passSet = false;
    const { r, estimates } = this;
    if (!r.loaded || !r.full() || !estimates.typesKnown) return;
    const now = this.o.clock.nowMs();
    const guaranteed = this.guaranteed();
    const entries: QueueEntry[] = [];
    for (const job of r.jobs.values()) {
      if (job.cancelled || job.pending <= 0 || job.notBeforeMs > now) continue;
      entries.push(this.entry(job, guaranteed.has(job), now));
    }
    if (entries.length > 0) this.place(entries, guaranteed, now);
    // Whatever else there is to do gets its turn between two passes.
    const endMs = this.o.clock.nowMs();
    this.nextPassMs = endMs + Math.min(MAX_GAP_MS, Math.max(GAP_MS, (endMs - now) * GAP_TIMES));
  }

  private place(entries: QueueEntry[], guaranteed: Set<Job>, now: number): void {
    const { r, estimates } = this;
    const inOrder = serveOrder(entries, this.rooms());
    const machines: MachineView[] = [];
    const coming: MachineView[] = [];
    for (const m of r.machines.values()) {
      if (!m.type || m.state === "leaving" || m.cordoned || m.takenAtMs !== null) continue;
      // What is on its way is written on by the renter as well: made anew each time.
      if (m.state === "booting") {
        if (!isLate(m, now)) coming.push(this.build(m, m.type));
      }
      // It may answer commands and reach no controller with its reports: what is started there dies with its lease.
      else if (m.hears && now - m.lastReportMs < this.o.operator.suspectS * 1000)
        machines.push(this.view(m, m.type));
    }
    for (const order of r.fleet.renting.values()) {
      const type = estimates.typeNamed(order.type);
      if (!type) continue;
      for (let i = 0; i < order.count; i++)
        coming.push(emptyView(type, order.zone, order.spot, estimates.claimOn(type, order.spot)));
    }
    let lowest = Infinity;
    let borrowing = false;
    for (const job of r.jobs.values()) {
      if (job.attempts.size === 0) continue;
      lowest = Math.min(lowest, job.spec.priority);
      borrowing ||= !guaranteed.has(job);
    }
    const plan = place({
      jobs: inOrder.map((e) => this.jobView(e, now)),
      machines,
      coming,
      holds: this.holds.filter((h) => h.untilMs > now),
      quota: quotaView(r.usage, r.jobs),
      maxEvictions: 40,
      maxMakers: 8,
      mayStop: (j) => lowest < j.spec.priority || (j.guaranteed && borrowing),
      refused: (spec, zone) => r.fleet.refusedAll(spec, zone, now),
      guaranteed: (id) => {
        const job = r.jobs.get(id);
        return job !== undefined && guaranteed.has(job);
      },
      takenPerH: estimates.takenPerH,
      nowMs: now,
    });
    for (const v of plan.touched) this.views.delete(v.name);
    this.keepHolds(plan.holds, now);
    this.carryOut(plan, now);
    r.fleet.rent(plan, coming);
  }

  /** Room there is kept for somebody, so it is not idle. */
  holdsRoomOn(machine: string): boolean {
    return this.holds.some((h) => h.machine === machine);
  }

  /** A hold lasts a while from when it was first made, so that nothing is kept for ever for a job that can't come. */
  private keepHolds(holds: Hold[], now: number): void {
    const before = new Map(this.holds.map((h) => [`${h.jobId} ${h.machine}`, h.untilMs]));
    this.holds = holds.map((h) => {
      const job = this.r.jobs.get(h.jobId);
      const forMs = job?.spec.kind === "gang" ? GANG_HOLD_MS : HOLD_MS;
      return { ...h, untilMs: before.get(`${h.jobId} ${h.machine}`) ?? now + forMs };
    });
  }

  private guaranteed(): Set<Job> {
    const { r } = this;
    if (this.guaranteedOf !== r.jobsVersion) {
      this.guaranteedOf = r.jobsVersion;
      this.guaranteedJobs = withinGuarantee(r.jobs.values(), r.usage.teams);
    }
    return this.guaranteedJobs;
  }

  private entry(job: Job, guaranteed: boolean, now: number): QueueEntry {
    const { spec } = job;
    const taskS = Math.max(1, this.estimates.learner.expectedS(spec.className, spec.estimateS));
    const agoS = (now - job.bornMs) / 1000;
    let runningS = 0;
    for (const a of job.attempts) {
      runningS += Math.max(1, taskS - (a.runningMs === null ? 0 : (now - a.runningMs) / 1000));
    }
    const waitedS = (now - job.bornMs) / 1000;
    const aged = job.attempts.size === 0 && job.doneCount === 0 && waitedS > (spec.kind === "gang" ? 45 : 90);
    return {
      job,
      id: job.id,
      priority: spec.priority,
      guaranteed,
      duesS: this.wishes(job).map((s) => s - agoS),
      taskS,
      gpus: spec.gpus > 0,
      aged,
      overdue: aged && spec.kind === "array" && waitedS > OVERDUE_S,
      late: waitedS > LATE_PART * this.patienceS(spec.className),
      allowed: Infinity,
      tasks: job.pending + job.attempts.size,
      wide: (spec.gpus || spec.cpus) * (job.pending + job.attempts.size),
      work: (spec.gpus || spec.cpus) * (job.pending * taskS + runningS),
      since: job.acceptedAt.getTime(),
    };
  }

  /**
   * The longest that the operator wishes anything of that class to take; a job's own deadline says nothing of it. Where
   * a tighter wish is not far from it, those who stepped back are tried again soon enough as it is: Infinity.
   */
  private patienceS(className: string): number {
    let longestS = 0;
    for (const o of this.o.platform.objectives) {
      if (o.className === className && (o.kind === "finished" || o.kind === "wait"))
        longestS = Math.max(longestS, o.withinS ?? 0);
    }
    const near = this.o.platform.objectives.some(
      (o) =>
        o.className === className &&
        o.kind === "finished" &&
        o.withinS !== null &&
        o.withinS < longestS &&
        o.withinS * FAR_APART > longestS,
    );
    return longestS > 0 && !near ? longestS : Infinity;
  }

  private wishes(job: Job): number[] {
    let wishes = this.wished.get(job);
    if (!wishes) {
      wishes = wishedS(job.spec.className, job.spec.deadlineS, this.o.platform.objectives);
      this.wished.set(job, wishes);
    }
    return wishes;
  }

  /** What work of a priority can count on: everything but what higher work and, for cpus, accelerators take. */
  private rooms(): (priority: number, gpus: boolean) => number {
    const all = { cpus: 0, gpus: 0 };
    for (const m of this.r.machines.values()) {
      if (!m.type || m.state === "leaving" || m.cordoned) continue;
      all.gpus += m.type.gpus;
      if (m.type.gpus === 0 || !this.estimates.claimOn(m.type, m.spot)) all.cpus += m.type.cpus;
    }
    // Counted by jobs, not by attempts: there are ten times as many of those.
    const used = new Map<number, { cpus: number; gpus: number }>();
    for (const { spec, attempts } of this.r.jobs.values()) {
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

  private jobView(e: QueueEntry, now: number): JobView {
    const zones = new Map<string, number>();
    for (const a of e.job.attempts) zones.set(a.machine.zone, (zones.get(a.machine.zone) ?? 0) + 1);
    const avoid = new Set<string>();
    for (const [name, untilMs] of e.job.avoid) {
      if (untilMs > now) avoid.add(name);
      else e.job.avoid.delete(name);
    }
    const prefer = this.r.rounds.prefer.get(e.job.id);
    return {
      spec: e.job.spec,
      pending: e.job.pending,
      limit: this.limit(e),
      taskS: e.job.spec.kind === "service" ? Infinity : e.taskS,
      aged: e.aged,
      guaranteed: e.guaranteed,
      zones,
      avoid,
      quickS: this.quickS(e.job, now),
      prefer: prefer && prefer.untilMs > now ? prefer.machine : null,
    };
  }

  /** Tasks to place now: the first of an array that has waited long, or what its part of the room still holds. */
  private limit(e: QueueEntry): number {
    const { spec, attempts } = e.job;
    // It may yet be right somewhere; until it is, the room is for others.
    if (spec.kind !== "gang" && looksMistaken(e.job)) return Math.max(0, MISTAKEN_AT_ONCE - attempts.size);
    if (e.aged && spec.kind === "array") return Math.min(e.allowed, Math.max(4, Math.ceil(spec.tasks / 8)));
    return spec.kind === "array" ? Math.max(0, e.allowed - attempts.size) : Infinity;
  }

  private quickS(job: Job, now: number): number | null {
    for (const o of this.o.platform.objectives) {
      if (o.kind !== "wait" || o.className !== job.spec.className || o.withinS === null) continue;
      const leftS = o.withinS - (now - job.bornMs) / 1000;
      return leftS > 0 ? leftS : null;
    }
    return null;
  }

  private view(m: Machine, type: MachineType): MachineView {
    const known = this.views.get(m.name);
    if (
      known?.of === m &&
      known.changes === m.changes &&
      known.claims === this.estimates.claims &&
      known.view.type === type
    ) {
      return known.view;
    }
    const view = this.build(m, type);
    this.views.set(m.name, { of: m, changes: m.changes, claims: this.estimates.claims, view });
    return view;
  }

  private build(m: Machine, type: MachineType): MachineView {
    const view = emptyView(type, m.zone, m.spot, this.estimates.claimOn(type, m.spot));
    view.name = m.name;
    view.idleSinceMs = m.state === "up" ? m.idleSinceMs : null;
    view.free.cpus -= m.used.cpus;
    view.free.gpus -= m.used.gpus;
    view.free.memoryGb -= m.used.memoryGb;
    for (const image of m.images.keys()) if (m.hasImage(image)) view.images.add(image);
    for (const image of m.fetching.keys()) view.fetching.add(image);
    view.backlogGb = m.fetchBacklogGb();
    view.withControllers = this.estimates.controllerZones.has(m.zone);
    for (const a of m.attempts) {
      const { spec } = a.job;
      view.gpuBusy ||= spec.gpus > 0;
      if (m.fetching.has(spec.image)) view.fetchRank = Math.max(view.fetchRank, spec.priority);
      if (!a.stop) continue;
      view.leaving.cpus += spec.cpus;
      view.leaving.gpus += spec.gpus;
      view.leaving.memoryGb += spec.memoryGb;
    }
    let victims: VictimView[] | null = null;
    view.victims = () => (victims ??= victimsOn(m));
    view.freeInS = (nowMs) => {
      let last = 0;
      for (const a of m.attempts) last = Math.max(last, this.leftS(a, nowMs));
      return last;
    };
    return view;
  }

  private leftS(a: Attempt, nowMs: number): number {
    const { spec } = a.job;
    if (spec.kind === "service") return 3600;
    const ranS = a.runningMs === null ? 0 : (nowMs - a.runningMs) / 1000;
    return Math.max(3, this.estimates.learner.expectedS(spec.className, spec.estimateS) - ranS);
  }

  private carryOut(plan: PlacementPlan, now: number): void {
    for (const p of plan.placements) {
      const job = this.r.jobs.get(p.jobId);
      const m = this.r.machines.get(p.machine);
      if (!job || !m) continue;
      for (let i = 0; i < p.tasks; i++) {
        const task = job.takePending();
        if (task === null) break;
        const chunk = job.chunkOf(task);
        // A gang's tasks find one another by their attempt number: one for all of them.
        const attempt = job.spec.kind === "gang" ? this.gangAttempt(job) : this.r.nextAttempt++;
        this.r.attempts.attach({
          job,
          task,
          attempt,
          machine: m,
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
      log.debug(() => `${job.id}: ${p.tasks} on ${m.name}`);
    }
    if (plan.placements.length > 0) this.r.archive.requestWrite(0);
    for (const e of plan.evictions) {
      const a = e.ref as Attempt;
      if (a.stop || !a.machine.attempts.has(a)) continue;
      const by = this.r.jobs.get(e.jobId);
      const quickS = by ? this.quickS(by, now) : null;
      log.debug(() => `${a.job.id}/${a.task} makes room on ${a.machine.name} for ${e.jobId}`);
      // Who has to begin at once can't wait until a checkpoint is written: what ran since the last one is lost instead.
      if (quickS !== null && quickS < a.job.spec.saveS + 1 && a.job.spec.kind === "array")
        this.r.attempts.stopAttempt(a, 0);
      else this.r.attempts.stopOrderly(a);
    }
  }

  private gangAttempt(job: Job): number {
    for (const a of job.attempts) return a.attempt;
    return this.r.nextAttempt++;
  }
}

/**
 * Long past its type's boot time nobody counts on it any more, so another is rented in its place; should it come up
 * after all, it is used. One that has been up before is not late but silent: cut off, say, and back in a while. Pure.
 */
export function isLate(m: Machine, nowMs: number): boolean {
  if (m.listedUp || m.attempts.size > 0 || !m.type) return false;
  return nowMs - m.bornMs > (m.type.bootS * LATE_BOOT_TIMES + 3) * 1000;
}

/** What runs there and may be stopped one by one. */
function victimsOn(m: Machine): VictimView[] {
  const out: VictimView[] = [];
  for (const a of m.attempts) {
    const { spec } = a.job;
    // A gang is no single victim here: stopping one member ends them all.
    if (a.stop || (spec.kind === "gang" && spec.tasks > 1)) continue;
    out.push({
      ref: a,
      jobId: a.job.id,
      team: spec.team,
      priority: spec.priority,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      lossS: (nowMs) => lossOf(a, nowMs),
    });
  }
  return out;
}

/**
 * What began out of turn goes on for a while: stopped for higher work again and again within seconds, a job of the lowest
 * priority would never have begun in its users' eyes. Pure.
 */
export function hasJustBegun(job: Job, nowMs: number): boolean {
  if (job.doneCount > 0 || job.attempts.size > BEGIN_TASKS || nowMs - job.bornMs < OVERDUE_S * 1000)
    return false;
  for (const a of job.attempts) if (a.runningMs !== null && nowMs - a.runningMs > BEGIN_KEEP_MS) return false;
  return job.spec.kind === "array";
}

/** Seconds of work that stopping the attempt throws away; Infinity: it may not be stopped. */
function lossOf(a: Attempt, nowMs: number): number {
  const { spec } = a.job;
  if (hasJustBegun(a.job, nowMs)) return Infinity;
  if (spec.kind === "service") return 600;
  if (a.runningMs === null) return 1;
  const ranS = (nowMs - a.runningMs) / 1000;
  return spec.checkpointS > 0 ? spec.saveS + 2 : ranS;
}
