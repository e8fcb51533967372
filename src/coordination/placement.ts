import type { JobSpec } from "../protocol/model.js";
import type { Amount } from "../bookkeeping/machines.js";
import { addTo, allows, fits, howMany, takeFrom, zoneRoom } from "./views.js";
import type { JobView, MachineView, QuotaView, VictimView } from "./views.js";

export interface Placement {
  jobId: string;
  machine: string;
  tasks: number;
}

/** Room that is kept for a job: others were stopped for it, or the rest of its gang is still to come. */
export interface Hold {
  jobId: string;
  machine: string;
  tasks: number;
  etaS: number;
}

export interface PlacementPlan {
  placements: Placement[];
  /** Attempts to stop (their `ref`), and for whom. */
  evictions: { ref: unknown; jobId: string }[];
  /** What found no place on a machine that is up; a gang's rest is wanted in that zone. */
  unplaced: { job: JobView; tasks: number; zone: string | null }[];
  /** What the next pass should keep, in place of what this one was given. */
  holds: Hold[];
  /** Views that were written on. */
  touched: Set<MachineView>;
  /** Machines looked at: what a pass costs. */
  looked: number;
}

export interface PlacementInput {
  /** In the order in which they are to be served. */
  jobs: JobView[];
  /** Up, and to be trusted with new work. */
  machines: MachineView[];
  /** On their way; a gang counts on them. */
  coming: MachineView[];
  holds: Hold[];
  quota: QuotaView;
  maxEvictions: number;
  /** Jobs that room may be made for in one pass. */
  maxMakers: number;
  /** False when nothing runs that could be stopped for it. */
  mayStop: (job: JobView) => boolean;
  /** The cloud has lately had nothing there for it. */
  refused: (spec: JobSpec, zone: string) => boolean;
  guaranteed: (jobId: string) => boolean;
  /** How often a spot machine is taken in an hour, as seen so far. */
  takenPerH: number;
  nowMs: number;
}

/** Seconds that a task would wait for its image there. */
export function fetchDelayS(spec: JobSpec, m: MachineView): number {
  if (m.images.has(spec.image)) return 0;
  const rate = m.type.fetchGbPerS;
  if (m.fetching.has(spec.image)) return m.backlogGb / rate;
  return (m.backlogGb + spec.imageGb) / rate;
}

/** What an ordinary machine costs more than a spot one weighs so many seconds of a gang's start at the most. */
const GANG_SPOT_S = 40;
/** Seconds until a stopped gang runs again, if there is room. */
const RESTART_S = 20;
/** Seconds of a start that one more place left in a zone is worth to a gang that comes after. */
const SPARE_S = 0.2;

/** A gang whose team is at its limit should begin within this: what is over sooner may use its room. */
const QUOTA_WAIT_S = 5;

/** A machine that holds more of a service's tasks than this is a large one to it. */
const ROOMY = 16;

/** Lower is better; roughly seconds. */
function cost(job: JobView, m: MachineView, nowMs: number, takenPerH: number): number {
  const { spec } = job;
  let c = fetchDelayS(spec, m);
  if (job.prefer === m.name) c -= 10;
  // Cheap machines for whoever may use them: the others are left to those who may not.
  if (spec.spot && spec.kind === "gang") {
    // A gang stops whole when one of its machines is taken: the larger it is, the more an ordinary one is worth.
    if (m.spot) c += (takenPerH / 3600) * job.taskS * spec.tasks * (RESTART_S + spec.checkpointS / 2);
    else c += GANG_SPOT_S * (1 - m.type.spotPrice / Math.max(m.type.price, 1e-9));
  } else if (spec.spot && !m.spot) c += 4;
  if (spec.gpus === 0 && m.type.gpus > 0) c += 8;
  // A zone without controllers is silent when it is cut off, and its leases run out.
  if (spec.kind === "service" && !m.withControllers) c += 3;
  // A service stays, and with it its machine: on a large one it would pay for all the room around it.
  if (spec.kind === "service") c += Math.min(6, Math.max(0, howMany(spec, m.type) - ROOMY) / 3);
  // Dear machines last, so that they are the ones that empty and are given back.
  c += Math.min(12, (m.spot ? m.type.spotPrice : m.type.price) / 2.5);
  // What has been idle longest is left idle, until it is given back.
  if (m.idleSinceMs !== null) c += Math.min(4, Math.max(0, nowMs - m.idleSinceMs) / 5000);
  // Fuller machines first, so that whole machines stay empty and can be given back.
  const load = 1 - m.free.cpus / Math.max(m.type.cpus, 1e-6);
  c += (1 - load) * 2;
  return c;
}

/**
 * How many tasks the machine takes. Where work with accelerators may come, other tasks leave enough beside the
 * free ones for it, come only while the machine is paid for anyway, and never stay for good: a service on such a
 * machine would keep it rented at many times the price of its room.
 */
export function roomFor(spec: JobSpec, m: MachineView): number {
  const n = howMany(spec, m.free);
  if (n === 0 || spec.gpus > 0 || m.type.gpus === 0 || !m.claim) return n;
  if (spec.kind === "service" || !m.gpuBusy) return 0;
  const spare = {
    cpus: m.free.cpus - m.free.gpus * m.claim.cpus,
    gpus: 0,
    memoryGb: m.free.memoryGb - m.free.gpus * m.claim.memoryGb,
  };
  return Math.min(n, howMany(spec, spare));
}

interface Chosen {
  machine: MachineView;
  tasks: number;
}

/** Places what it can, in order; makes room by stopping lesser work where the rules of preemption allow. Pure. */
export function place(input: PlacementInput): PlacementPlan {
  return new Pass(input).run();
}

class Pass {
  private readonly plan: PlacementPlan = {
    placements: [],
    evictions: [],
    unplaced: [],
    holds: [],
    touched: new Set(),
    looked: 0,
  };
  private readonly byName = new Map<string, MachineView>();
  private readonly holds = new Map<string, Hold[]>();
  /** Shapes that fitted nowhere: in one pass room only shrinks, so what asks for no less fits nowhere either. */
  private readonly hopeless: JobSpec[] = [];
  private readonly open: MachineView[];
  /** Shapes for which nobody's going would help: in one pass that stays so. */
  private readonly barren = new Set<string>();
  private makers = 0;

  constructor(private readonly i: PlacementInput) {
    let cpus = Infinity;
    let memoryGb = Infinity;
    for (const j of i.jobs) {
      cpus = Math.min(cpus, j.spec.cpus);
      memoryGb = Math.min(memoryGb, j.spec.memoryGb);
    }
    for (const m of i.machines) {
      this.byName.set(m.name, m);
      m.held = null;
    }
    for (const h of i.holds) {
      const list = this.holds.get(h.jobId);
      if (list) list.push(h);
      else this.holds.set(h.jobId, [h]);
    }
    const wanted = new Map(i.jobs.map((j) => [j.spec.id, j.spec]));
    for (const h of i.holds) {
      const m = this.byName.get(h.machine);
      const spec = wanted.get(h.jobId);
      if (m && !m.held && spec) this.keep(m, spec, h.tasks, h.etaS);
    }
    this.plan.looked += i.machines.length;
    this.open = i.machines.filter(
      (m) =>
        m.free.cpus + (m.held?.amount.cpus ?? 0) >= cpus - 1e-6 &&
        m.free.memoryGb + (m.held?.amount.memoryGb ?? 0) >= memoryGb - 1e-6,
    );
  }

  run(): PlacementPlan {
    for (const job of this.i.jobs) this.one(job);
    return this.plan;
  }

  /** Takes room out of what others may have. */
  private keep(m: MachineView, spec: JobSpec, tasks: number, etaS: number): void {
    this.plan.touched.add(m);
    takeFrom(m.free, spec, tasks);
    const amount = m.held?.amount ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    takeFrom(amount, spec, -tasks);
    m.held = { jobId: spec.id, amount, etaS: Math.max(etaS, m.held?.etaS ?? 0) };
  }

  private letGo(m: MachineView): void {
    if (!m.held) return;
    this.plan.touched.add(m);
    addTo(m.free, m.held.amount);
    m.held = null;
  }

  private one(job: JobView): void {
    const { spec } = job;
    const { quota } = this.i;
    const mine = this.holds.get(spec.id) ?? [];
    for (const h of mine) {
      const m = this.byName.get(h.machine);
      if (m?.held?.jobId === spec.id) this.letGo(m);
    }
    const wanted = Math.min(job.pending, job.limit);
    const allowed = quota.room(spec);
    if (spec.kind === "gang") {
      if (wanted < spec.tasks || quota.attainable(spec) < spec.tasks) return;
      this.gang(job, allowed);
      return;
    }
    if (wanted > allowed) this.claimQuota(job, wanted, allowed);
    let want = Math.min(wanted, allowed);
    if (want <= 0) return;
    // Room where its image lies, even if lesser work has to make it, comes before waiting for a fetch elsewhere.
    const quick = job.quickS;
    if (quick !== null) want -= this.put(job, this.choose(job, want, quick));
    if (want > 0) want -= this.stillHeld(job, mine, want);
    if (quick !== null && want > 0) want -= this.makeRoom(job, want, quick);
    if (want > 0) want -= this.put(job, this.choose(job, want, Infinity));
    if (want > 0) want -= this.makeRoom(job, want, Infinity);
    if (want > 0) this.plan.unplaced.push({ job, tasks: want, zone: null });
  }

  /**
   * The team is at its limit. Whatever of it comes free is for this job before those that are served after it: taken piece
   * by piece by small tasks, it would never be enough for a large one (docs/incidents/inc-809f.md).
   */
  private claimQuota(job: JobView, wanted: number, allowed: number): void {
    const { spec } = job;
    const { quota } = this.i;
    if (quota.attainable(spec) < 1) return;
    this.stopForQuota(job, wanted - quota.roomWhenStopped(spec));
    if (allowed === 0) quota.take(spec, 1);
  }

  /** Stops lesser work of the job's own team, so that this many more of its tasks come under the team's limit. */
  private stopForQuota(job: JobView, tasks: number): void {
    const { spec } = job;
    if (tasks <= 0 || job.quickS === null || this.makers >= this.i.maxMakers || !this.i.mayStop(job)) return;
    const shape = `quota ${spec.team} ${spec.priority}`;
    if (this.barren.has(shape)) return;
    this.makers++;
    this.plan.looked += this.i.machines.length;
    const now = this.i.nowMs;
    const options: { m: MachineView; victim: VictimView; lossS: number }[] = [];
    for (const m of this.i.machines) {
      for (const victim of m.victims()) {
        if (victim.team !== spec.team || victim.priority >= spec.priority) continue;
        const lossS = victim.lossS(now);
        if (lossS < Infinity) options.push({ m, victim, lossS });
      }
    }
    if (options.length === 0) this.barren.add(shape);
    options.sort((a, b) => a.victim.priority - b.victim.priority || a.lossS - b.lossS);
    const missing: Amount = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memoryGb: 0 };
    for (const { m, victim } of options) {
      if (missing.cpus <= 1e-6 && missing.gpus <= 1e-6) break;
      if (this.plan.evictions.length >= this.i.maxEvictions) break;
      const helps = (missing.cpus > 1e-6 && victim.cpus > 0) || (missing.gpus > 1e-6 && victim.gpus > 0);
      if (!helps) continue;
      missing.cpus -= victim.cpus;
      missing.gpus -= victim.gpus;
      const left = m.victims().filter((v) => v !== victim);
      m.victims = () => left;
      addTo(m.leaving, victim);
      this.plan.touched.add(m);
      this.plan.evictions.push({ ref: victim.ref, jobId: spec.id });
    }
  }

  /** There is room for the gang, but not yet under its team's limit: both are kept for it. */
  private awaitQuota(job: JobView, chosen: Chosen[]): void {
    const { spec } = job;
    this.stopForQuota(job, spec.tasks - this.i.quota.roomWhenStopped(spec));
    for (const p of chosen) this.hold(job, p.machine, p.tasks, QUOTA_WAIT_S);
    this.i.quota.take(spec, spec.tasks);
  }

  /** Plans the starts; returns how many. */
  private put(job: JobView, chosen: Chosen[]): number {
    const { spec } = job;
    let tasks = 0;
    for (const { machine: m, tasks: n } of chosen) {
      this.plan.touched.add(m);
      takeFrom(m.free, spec, n);
      if (!m.images.has(spec.image)) {
        // Later tasks of this plan see the fetch that this one begins.
        if (!m.fetching.has(spec.image)) m.backlogGb += spec.imageGb;
        m.fetching.add(spec.image);
        m.fetchRank = Math.max(m.fetchRank, spec.priority);
      }
      count(job, m.zone, n);
      this.plan.placements.push({ jobId: spec.id, machine: m.name, tasks: n });
      tasks += n;
    }
    this.i.quota.take(spec, tasks);
    return tasks;
  }

  /** Room that others are still leaving for it: no second one is made, and nobody else gets it. */
  private stillHeld(job: JobView, mine: Hold[], missing: number): number {
    let kept = 0;
    for (const h of mine) {
      const m = this.byName.get(h.machine);
      if (!m || kept >= missing) continue;
      const room = { ...m.free };
      addTo(room, m.leaving);
      const n = Math.min(
        h.tasks,
        missing - kept,
        howMany(job.spec, room),
        zoneRoom(job.spec, job.zones, m.zone),
      );
      if (n <= 0 || howMany(job.spec, m.free) >= n) continue;
      this.hold(job, m, n, h.etaS);
      count(job, m.zone, n);
      kept += n;
    }
    this.i.quota.take(job.spec, kept);
    return kept;
  }

  private hold(job: JobView, m: MachineView, tasks: number, etaS: number): void {
    this.keep(m, job.spec, tasks, etaS);
    this.plan.holds.push({ jobId: job.spec.id, machine: m.name, tasks, etaS });
  }

  // ------------------------------------------------------------------ gangs

  /**
   * A gang starts whole or not at all, in one zone where it must be. What is there is kept for it while the rest is on
   * its way, or once it has waited long: otherwise smaller work would take every machine that comes free, for ever.
   */
  private gang(job: JobView, allowed: number): void {
    const { spec } = job;
    const want = spec.tasks;
    const underLimit = allowed >= want;
    const zones = spec.oneZone ? this.zonesOf(spec) : [null];
    let best: { zone: string | null; chosen: Chosen[]; price: number } | null = null;
    let most: { zone: string | null; have: number; soon: number; score: number } | null = null;
    for (const zone of zones) {
      const chosen = this.choose(job, want, Infinity, zone);
      const have = sum(chosen);
      const price = chosen.reduce((total, p) => total + p.tasks * this.cost(job, p.machine), 0);
      // Small gangs go where little is left, so that a large one finds enough in the other zone.
      const spare = have >= want ? (this.roomIn(job, zone) - want) * SPARE_S * want : 0;
      if (have >= want && (!best || price + spare < best.price))
        best = { zone, chosen, price: price + spare };
      const soon = have >= want ? 0 : this.comingRoom(job, want - have, zone);
      // Where the rest can't be had, it has to wait for others to end.
      const rest = want - have - soon > 0 && zone !== null && this.i.refused(spec, zone);
      const score = have + soon - (rest ? want : 0);
      if (!most || score > most.score) most = { zone, have, soon, score };
    }
    if (best) {
      if (underLimit) this.put(job, best.chosen);
      else this.awaitQuota(job, best.chosen);
      return;
    }
    if (underLimit && this.makeRoom(job, want, Infinity) >= want) return;
    if (!most) {
      this.plan.unplaced.push({ job, tasks: want, zone: null });
      return;
    }
    const { zone, have, soon } = most;
    const whole = have + soon >= want;
    this.takeComing(job, want - have, zone);
    if (underLimit && have > 0 && (whole || job.aged)) {
      const etaS = whole ? 20 : this.etaS(job, want - have, zone);
      for (const p of this.choose(job, want, Infinity, zone)) this.hold(job, p.machine, p.tasks, etaS);
      // Its quota is spoken for, too.
      this.i.quota.take(spec, want);
    }
    if (!whole) this.plan.unplaced.push({ job, tasks: want - have - soon, zone });
  }

  private cost(job: JobView, m: MachineView): number {
    return cost(job, m, this.i.nowMs, this.i.takenPerH);
  }

  /** Tasks of it that the zone's open machines hold. */
  private roomIn(job: JobView, zone: string | null): number {
    let n = 0;
    for (const m of this.open) {
      if (zone !== null && m.zone !== zone) continue;
      if (fits(job.spec, m.free) && allows(job.spec, m.type.name, m.zone, m.spot))
        n += howMany(job.spec, m.free);
    }
    return n;
  }

  private zonesOf(spec: JobSpec): (string | null)[] {
    const zones = new Set<string>();
    for (const m of this.i.machines) if (m.type.gpus >= spec.gpus) zones.add(m.zone);
    for (const m of this.i.coming) zones.add(m.zone);
    return spec.zone === null ? [...zones] : [spec.zone];
  }

  private comingRoom(job: JobView, want: number, zone: string | null): number {
    let n = 0;
    for (const m of this.i.coming) {
      if (n >= want) break;
      if (zone !== null && m.zone !== zone) continue;
      if (allows(job.spec, m.type.name, m.zone, m.spot)) n += howMany(job.spec, m.free);
    }
    return Math.min(n, want);
  }

  private takeComing(job: JobView, want: number, zone: string | null): void {
    let left = want;
    for (const m of this.i.coming) {
      if (left <= 0) break;
      if (zone !== null && m.zone !== zone) continue;
      if (!allows(job.spec, m.type.name, m.zone, m.spot)) continue;
      const n = Math.min(left, howMany(job.spec, m.free));
      takeFrom(m.free, job.spec, n);
      left -= n;
    }
  }

  /** When enough of the zone's machines should have come free. */
  private etaS(job: JobView, missing: number, zone: string | null): number {
    const times: number[] = [];
    for (const m of this.i.machines) {
      if (zone !== null && m.zone !== zone) continue;
      if (!allows(job.spec, m.type.name, m.zone, m.spot)) continue;
      const whole = { cpus: m.type.cpus, gpus: m.type.gpus, memoryGb: m.type.memoryGb };
      if (howMany(job.spec, m.free) > 0 || !fits(job.spec, whole)) continue;
      times.push(m.freeInS(this.i.nowMs));
    }
    times.sort((a, b) => a - b);
    return times[Math.min(missing, times.length) - 1] ?? 0;
  }

  // ------------------------------------------------------------------ choosing

  private isHopeless(spec: JobSpec): boolean {
    return this.hopeless.some(
      (s) =>
        s.cpus <= spec.cpus &&
        s.gpus <= spec.gpus &&
        s.memoryGb <= spec.memoryGb &&
        (s.spot || !spec.spot) &&
        (s.types === null || s.types.join() === spec.types?.join()) &&
        (s.zone === null || s.zone === spec.zone),
    );
  }

  private choose(job: JobView, want: number, withinS: number, zone: string | null = null): Chosen[] {
    const { spec } = job;
    if (this.isHopeless(spec)) return [];
    let fitting = 0;
    const candidates: { m: MachineView; c: number }[] = [];
    this.plan.looked += this.open.length;
    for (const m of this.open) {
      if (!fits(spec, m.free)) {
        // What is kept for another may be used by what is over before that one begins.
        if (m.held) fitting++;
        if (!m.held || m.held.etaS < (job.taskS + fetchDelayS(spec, m)) * 1.3 + 2) continue;
        const room = { ...m.free };
        addTo(room, m.held.amount);
        if (!fits(spec, room) || !allows(spec, m.type.name, m.zone, m.spot)) continue;
        if (zone !== null && m.zone !== zone) continue;
        this.letGo(m);
      }
      if (!allows(spec, m.type.name, m.zone, m.spot)) continue;
      fitting++;
      if ((zone !== null && m.zone !== zone) || job.avoid.has(m.name)) continue;
      // Fetches share the line: lesser work begins none of its own while greater work waits for its image.
      if (m.fetchRank > spec.priority && !m.images.has(spec.image) && !m.fetching.has(spec.image)) continue;
      if (fetchDelayS(spec, m) > withinS) continue;
      candidates.push({ m, c: this.cost(job, m) });
    }
    if (fitting === 0) this.hopeless.push(spec);
    candidates.sort((a, b) => a.c - b.c || (a.m.name < b.m.name ? -1 : 1));
    const out: Chosen[] = [];
    const zones = new Map(job.zones);
    let missing = want;
    for (const { m } of candidates) {
      if (missing <= 0) break;
      const n = Math.min(missing, roomFor(spec, m), zoneRoom(spec, zones, m.zone));
      if (n <= 0) continue;
      zones.set(m.zone, (zones.get(m.zone) ?? 0) + n);
      out.push({ machine: m, tasks: n });
      missing -= n;
    }
    return out;
  }

  // ------------------------------------------------------------------ making room

  private mayEvict(job: JobView, victim: VictimView): boolean {
    if (victim.jobId === job.spec.id) return false;
    if (victim.team === job.spec.team) return victim.priority < job.spec.priority;
    const borrowed = !this.i.guaranteed(victim.jobId);
    // So that a team gets its guarantee, what another team borrows may be stopped. And what borrows stops nothing that
    // is guaranteed, whatever its priority: it would be stopped for it in turn, and so on for ever.
    return job.guaranteed
      ? borrowed || victim.priority < job.spec.priority
      : borrowed && victim.priority < job.spec.priority;
  }

  /** Who would have to go so that one more task fits; null: nobody's going helps. */
  private victimsFor(job: JobView, m: MachineView): { victims: VictimView[]; loss: number } | null {
    const { spec } = job;
    const room: Amount = { ...m.free };
    addTo(room, m.leaving);
    const victims: VictimView[] = [];
    let loss = 0;
    if (fits(spec, room)) return { victims, loss };
    const now = this.i.nowMs;
    const able = m.victims().filter((v) => this.mayEvict(job, v) && v.lossS(now) < Infinity);
    if (able.length === 0) return null;
    able.sort((a, b) => a.priority - b.priority || a.lossS(now) - b.lossS(now));
    for (const v of able) {
      if (fits(spec, room)) break;
      // Only what helps.
      const lacksOnlyGpus = spec.cpus <= room.cpus && spec.memoryGb <= room.memoryGb;
      if (v.gpus === 0 && spec.gpus > room.gpus + 1e-6 && lacksOnlyGpus) continue;
      victims.push(v);
      addTo(room, v);
      loss += v.lossS(now);
    }
    return fits(spec, room) ? { victims, loss } : null;
  }

  /** Tries to find room for `want` tasks by stopping others; returns for how many it will be there. */
  private makeRoom(job: JobView, want: number, withinS: number): number {
    const { spec } = job;
    // The lowest priority stops nobody, unless its team has less than its guarantee.
    if ((spec.priority === 0 && !job.guaranteed) || this.makers >= this.i.maxMakers) return 0;
    if (!this.i.mayStop(job)) return 0;
    const shape = `${spec.team} ${spec.priority} ${job.guaranteed} ${spec.cpus} ${spec.gpus} ${spec.memoryGb} ${spec.zone} ${spec.spot} ${spec.types?.join()}`;
    if (this.barren.has(shape)) return 0;
    this.makers++;
    let passedOver = withinS < Infinity;
    const zones = new Map(job.zones);
    const options: { m: MachineView; cost: number }[] = [];
    this.plan.looked += this.i.machines.length;
    for (const m of this.i.machines) {
      if (!allows(spec, m.type.name, m.zone, m.spot)) continue;
      if (spec.gpus === 0 && m.type.gpus > 0 && m.claim) continue;
      const delay = fetchDelayS(spec, m);
      if (job.avoid.has(m.name) || m.held || delay > withinS || zoneRoom(spec, zones, m.zone) <= 0) {
        passedOver = true;
        continue;
      }
      const found = this.victimsFor(job, m);
      if (found) options.push({ m, cost: delay + found.loss * 0.3 + found.victims.length });
    }
    if (options.length === 0) {
      if (!passedOver) this.barren.add(shape);
      return 0;
    }
    options.sort((a, b) => a.cost - b.cost || (a.m.name < b.m.name ? -1 : 1));
    const picked = new Map<MachineView, { victims: VictimView[]; tasks: number }>();
    let missing = want;
    let evictions = this.plan.evictions.length;
    for (const { m } of options) {
      const free = { ...m.free };
      const leaving = { ...m.leaving };
      const entry = { victims: [] as VictimView[], tasks: 0 };
      while (missing > 0 && zoneRoom(spec, zones, m.zone) > 0) {
        const found = this.victimsFor(job, m);
        if (!found || evictions + found.victims.length > this.i.maxEvictions) break;
        evictions += found.victims.length;
        entry.victims.push(...found.victims);
        entry.tasks++;
        takeFrom(m.free, spec, 1);
        for (const v of found.victims) addTo(m.leaving, v);
        const left = m.victims().filter((v) => !found.victims.includes(v));
        m.victims = () => left;
        zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
        missing--;
      }
      this.plan.touched.add(m);
      Object.assign(m.free, free);
      Object.assign(m.leaving, leaving);
      if (entry.tasks > 0) picked.set(m, entry);
      if (missing <= 0) break;
    }
    if (missing > 0 && spec.kind === "gang") return 0;
    for (const [m, { victims, tasks }] of picked) {
      for (const v of victims) {
        addTo(m.leaving, v);
        this.plan.evictions.push({ ref: v.ref, jobId: spec.id });
      }
      // The room is spoken for: nobody may take it in the meantime, least of all who was just stopped for it.
      this.hold(job, m, tasks, 0);
      count(job, m.zone, tasks);
    }
    this.i.quota.take(spec, want - missing);
    return want - missing;
  }
}

function sum(list: { tasks: number }[]): number {
  return list.reduce((total, p) => total + p.tasks, 0);
}

function count(job: JobView, zone: string, tasks: number): void {
  job.zones.set(zone, (job.zones.get(zone) ?? 0) + tasks);
}
