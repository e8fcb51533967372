import type { MachineType } from "../protocol/model.js";
import type { Attempt, Job } from "../bookkeeping/jobs.js";
import type { Machine } from "../bookkeeping/machines.js";
import { log } from "../transport/log.js";
import type { ConductorOptions } from "./conductor.js";
import type { Lore } from "./lore.js";
import { place, type PlacementPlan } from "./placement.js";
import { serveOrder, wishedS, withinGuarantee, type QueueEntry } from "./queue.js";
import type { Reign } from "./reign.js";
import { emptyView, type JobView, type MachineView, type VictimView } from "./views.js";

const PASS_DELAY_MS = 3;

/** Owns the passes: takes a snapshot, has the decisions made, carries them out. */
export class Placer {
  private passSet = false;

  constructor(
    private readonly r: Reign,
    private readonly o: ConductorOptions,
    private readonly lore: Lore,
  ) {}

  requestPass(): void {
    if (this.passSet) return;
    this.passSet = true;
    const { term } = this.r.mandate;
    this.o.clock.after(PASS_DELAY_MS, () => this.o.tell({ kind: "pass", term }));
  }

  pass(): void {
    this.passSet = false;
    if (!this.r.loaded || !this.r.full() || !this.lore.typesKnown) return;
    const now = this.o.clock.nowMs();
    const guaranteed = withinGuarantee(this.r.jobs.values(), this.r.usage.teams);
    const entries: QueueEntry[] = [];
    for (const job of this.r.jobs.values()) {
      if (job.cancelled || job.pending <= 0 || job.notBeforeMs > now) continue;
      entries.push(this.entry(job, guaranteed.has(job), now));
    }
    if (entries.length === 0) return;
    const entriesInOrder = serveOrder(entries, (priority) => this.roomFor(priority));
    const refs: Attempt[] = [];
    const machines: MachineView[] = [];
    const coming: MachineView[] = [];
    for (const job of this.r.jobs.values()) this.lore.profile(job);
    for (const m of this.r.machines.values()) {
      if (!m.type || m.state === "leaving" || m.cordoned || m.takenAtMs !== null) continue;
      const view = this.view(m, m.type, guaranteed, refs, now);
      if (m.state === "up") {
        if (view.placeable) machines.push(view);
      } else coming.push(view);
    }
    for (const order of this.r.fleet.renting.values()) {
      const type = this.lore.types.find((t) => t.name === order.type);
      if (type)
        for (let i = 0; i < order.count; i++)
          coming.push(emptyView(type, order.zone, order.spot, this.lore.claimOn(type, order.spot)));
    }
    const budget = new Map<string, { cpus: number; gpus: number }>();
    const plan = place({
      jobs: entriesInOrder.map((e) => this.jobView(e, now)),
      machines,
      quota: {
        room: (spec) => this.r.usage.room(spec, budget.get(spec.team)),
        take: (spec, tasks) => {
          const extra = budget.get(spec.team) ?? { cpus: 0, gpus: 0 };
          extra.cpus += spec.cpus * tasks;
          extra.gpus += spec.gpus * tasks;
          budget.set(spec.team, extra);
        },
      },
      maxEvictions: 40,
    });
    this.carryOut(plan, refs, now);
    this.r.fleet.rent(plan, coming);
  }

  private entry(job: Job, guaranteed: boolean, now: number): QueueEntry {
    const { spec } = job;
    const taskS = Math.max(1, this.lore.learner.expectedS(spec.className, spec.estimateS));
    const agoS = (now - job.bornMs) / 1000;
    let runningS = 0;
    for (const a of job.attempts) {
      runningS += Math.max(1, taskS - (a.runningMs === null ? 0 : (now - a.runningMs) / 1000));
    }
    return {
      job,
      id: job.id,
      priority: spec.priority,
      guaranteed,
      duesS: wishedS(spec.className, spec.deadlineS, this.o.platform.objectives).map((s) => s - agoS),
      taskS,
      work: spec.cpus * (job.pending * taskS + runningS),
      since: job.acceptedAt.getTime(),
    };
  }

  /** Cpus that work of this priority can count on: everything but what higher work and accelerators take. */
  private roomFor(priority: number): number {
    let cpus = 0;
    for (const m of this.r.machines.values()) {
      if (!m.type || m.state !== "up" || m.cordoned || this.lore.claimOn(m.type, m.spot)) continue;
      cpus += m.type.cpus;
      for (const a of m.attempts) if (a.job.spec.priority > priority) cpus -= a.job.spec.cpus;
    }
    return cpus;
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
      guaranteed: e.guaranteed,
      zones,
      avoid,
      quickS: this.quickS(e.job, now),
      prefer: prefer && prefer.untilMs > now ? prefer.machine : null,
    };
  }

  private quickS(job: Job, now: number): number | null {
    for (const o of this.o.platform.objectives) {
      if (o.kind !== "wait" || o.className !== job.spec.className || o.withinS === null) continue;
      const leftS = o.withinS - (now - job.bornMs) / 1000;
      return leftS > 0 ? leftS : null;
    }
    return null;
  }

  private view(
    m: Machine,
    type: MachineType,
    guaranteed: Set<Job>,
    refs: Attempt[],
    now: number,
  ): MachineView {
    const view = emptyView(type, m.zone, m.spot, this.lore.claimOn(type, m.spot));
    view.gpuBusy = [...m.attempts].some((a) => a.job.spec.gpus > 0);
    view.name = m.name;
    view.placeable = m.state === "up" && now - m.lastHeardMs < this.o.operator.suspectS * 1000;
    view.free.cpus -= m.used.cpus;
    view.free.gpus -= m.used.gpus;
    view.free.memoryGb -= m.used.memoryGb;
    for (const image of m.images.keys()) if (m.hasImage(image)) view.images.add(image);
    for (const image of m.fetching.keys()) view.fetching.add(image);
    for (const a of m.attempts) {
      if (m.fetching.has(a.job.spec.image)) view.fetchRank = Math.max(view.fetchRank, a.job.spec.priority);
    }
    view.backlogGb = m.fetchBacklogGb();
    view.withControllers = this.lore.controllerZones.has(m.zone);
    for (const a of m.attempts) {
      const { spec } = a.job;
      if (a.stop) {
        view.leaving.cpus += spec.cpus;
        view.leaving.gpus += spec.gpus;
        view.leaving.memoryGb += spec.memoryGb;
        continue;
      }
      // A gang is no single victim here: stopping one member ends them all.
      if (spec.kind === "gang" && spec.tasks > 1) continue;
      view.victims.push({
        ref: refs.push(a) - 1,
        jobId: a.job.id,
        team: spec.team,
        priority: spec.priority,
        borrowed: !guaranteed.has(a.job),
        cpus: spec.cpus,
        gpus: spec.gpus,
        memoryGb: spec.memoryGb,
        lossS: lossOf(a, now),
      } satisfies VictimView);
    }
    return view;
  }

  private carryOut(plan: PlacementPlan, refs: Attempt[], now: number): void {
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
      const a = refs[e.ref];
      if (!a || a.stop || !a.machine.attempts.has(a)) continue;
      log.debug(() => `${a.job.id}/${a.task} makes room on ${a.machine.name} for ${e.jobId}`);
      this.r.attempts.stopOrderly(a);
    }
  }

  private gangAttempt(job: Job): number {
    for (const a of job.attempts) return a.attempt;
    return this.r.nextAttempt++;
  }
}

/** Seconds of work that stopping the attempt throws away. */
function lossOf(a: Attempt, nowMs: number): number {
  const { spec } = a.job;
  if (spec.kind === "service") return 600;
  if (a.runningMs === null) return 1;
  const ranS = (nowMs - a.runningMs) / 1000;
  return spec.checkpointS > 0 ? spec.saveS + 2 : ranS;
}
