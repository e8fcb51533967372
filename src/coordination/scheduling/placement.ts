import type { JobSpec } from "../../protocol/model.js";
import type { Resources } from "../../bookkeeping/resources.js";
import { groupBy } from "./groupBy.js";
import { fetchDelayS, placementCost, roomFor } from "./placementCost.js";
import type { PlacementInput, PlacementPlan, Reservation } from "./placementPlan.js";
import { mayEvict, victimsFor } from "./preemption.js";
import { addResources, allowsPlacement, fits, fittingTasks, subtractTasks, zoneRoom } from "./fitting.js";
import type { JobView, MachineView, VictimView } from "./views.js";

/** Seconds of a start that one more place left in a zone is worth to a gang that comes after. */
const SPARE_S = 0.2;
/** A gang whose team is at its limit should begin within this: what is over sooner may use its room. */
const QUOTA_WAIT_S = 5;

interface Chosen {
  machine: MachineView;
  tasks: number;
}

/** Places what it can, in order; makes room by stopping lesser work where the rules of preemption allow. Pure. */
export function place(input: PlacementInput): PlacementPlan {
  return new SchedulingCycle(input).run();
}

class SchedulingCycle {
  private readonly plan: PlacementPlan = {
    placements: [],
    evictions: [],
    unplaced: [],
    reservations: [],
    modifiedMachines: new Set(),
    machinesExamined: 0,
  };
  private readonly byName = new Map<string, MachineView>();
  private readonly reservations: Map<string, Reservation[]>;
  /** Shapes that fitted nowhere: in one cycle room only shrinks, so what asks for no less fits nowhere either. */
  private readonly unplaceable: JobSpec[] = [];
  private readonly open: MachineView[];
  /** Shapes for which nobody's going would help: in one cycle that stays so. */
  private readonly noVictimsFor = new Set<string>();
  private preemptors = 0;

  constructor(private readonly input: PlacementInput) {
    let cpus = Infinity;
    let memoryGb = Infinity;
    for (const job of input.jobs) {
      cpus = Math.min(cpus, job.spec.cpus);
      memoryGb = Math.min(memoryGb, job.spec.memoryGb);
    }
    for (const machine of input.machines) {
      this.byName.set(machine.name, machine);
      machine.reserved = null;
    }
    this.reservations = groupBy(input.reservations, (reservation) => reservation.jobId);
    const wanted = new Map(input.jobs.map((j) => [j.spec.id, j.spec]));
    for (const { jobId, machine: name, tasks, etaS } of input.reservations) {
      const machine = this.byName.get(name);
      const spec = wanted.get(jobId);
      if (machine && !machine.reserved && spec) this.setAside(machine, spec, tasks, etaS);
    }
    this.plan.machinesExamined += input.machines.length;
    this.open = input.machines.filter(
      (m) =>
        m.free.cpus + (m.reserved?.amount.cpus ?? 0) >= cpus - 1e-6 &&
        m.free.memoryGb + (m.reserved?.amount.memoryGb ?? 0) >= memoryGb - 1e-6,
    );
  }

  run(): PlacementPlan {
    for (const job of this.input.jobs) this.placeJob(job);
    // What the shares of others leave is for whoever can use it.
    for (const job of this.input.jobs) {
      if (job.fairShareTasks >= Math.min(job.pending, job.taskLimit)) continue;
      job.fairShareTasks = Infinity;
      this.placeJob(job);
    }
    return this.plan;
  }

  /** Takes room out of what others may have. */
  private setAside(machine: MachineView, spec: JobSpec, tasks: number, etaS: number): void {
    this.plan.modifiedMachines.add(machine);
    subtractTasks(machine.free, spec, tasks);
    const amount = machine.reserved?.amount ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    subtractTasks(amount, spec, -tasks);
    machine.reserved = { jobId: spec.id, amount, etaS: Math.max(etaS, machine.reserved?.etaS ?? 0) };
  }

  private releaseReserved(machine: MachineView): void {
    if (!machine.reserved) return;
    this.plan.modifiedMachines.add(machine);
    addResources(machine.free, machine.reserved.amount);
    machine.reserved = null;
  }

  private placeJob(job: JobView): void {
    const { spec } = job;
    const { quota } = this.input;
    const mine = this.reservations.get(spec.id) ?? [];
    for (const reservation of mine) {
      const machine = this.byName.get(reservation.machine);
      if (machine?.reserved?.jobId === spec.id) this.releaseReserved(machine);
    }
    const wanted = Math.min(job.pending, job.taskLimit, job.fairShareTasks);
    const allowed = quota.room(spec);
    if (spec.kind === "gang") {
      if (wanted < spec.tasks) return;
      // Summed over all of the team's jobs, so only when its limit is in the way.
      if (allowed < spec.tasks && quota.attainable(spec) < spec.tasks) return;
      this.placeGang(job, allowed);
      return;
    }
    if (wanted > allowed) this.claimQuota(job, wanted, allowed);
    let want = Math.min(wanted, allowed);
    if (want <= 0) return;
    // Room where its image lies, even if lesser work has to make it, comes before waiting for a fetch elsewhere.
    const quick = job.waitTargetLeftS;
    if (quick !== null) want -= this.planStarts(job, this.choose(job, want, quick));
    if (want > 0) want -= this.keepReserved(job, mine, want);
    if (quick !== null && want > 0) want -= this.makeRoom(job, want, quick);
    if (want > 0) want -= this.planStarts(job, this.choose(job, want, Infinity));
    if (want > 0) want -= this.makeRoom(job, want, Infinity);
    if (want > 0) this.plan.unplaced.push({ job, tasks: want, zone: null });
  }

  /**
   * The team is at its limit. Whatever of it comes free is for this job before those that are served after it: taken piece
   * by piece by small tasks, it would never be enough for a large one (docs/incidents/inc-809f.md).
   */
  private claimQuota(job: JobView, wanted: number, allowed: number): void {
    const { spec } = job;
    const { quota } = this.input;
    if (quota.attainable(spec) < 1) return;
    this.stopForQuota(job, wanted - quota.roomWhenStopped(spec));
    if (allowed === 0) quota.take(spec, 1);
  }

  /** Stops lesser work of the job's own team, so that this many more of its tasks come under the team's limit. */
  private stopForQuota(job: JobView, tasks: number): void {
    const { spec } = job;
    if (
      tasks <= 0 ||
      job.waitTargetLeftS === null ||
      this.preemptors >= this.input.maxPreemptors ||
      !this.input.canPreemptFor(job)
    )
      return;
    const shape = `quota ${spec.team} ${spec.priority}`;
    if (this.noVictimsFor.has(shape)) return;
    this.preemptors++;
    this.plan.machinesExamined += this.input.machines.length;
    const now = this.input.nowMs;
    const options: { machine: MachineView; victim: VictimView; lossS: number }[] = [];
    for (const machine of this.input.machines) {
      for (const victim of machine.victims()) {
        if (victim.team !== spec.team || !mayEvict(job, victim, this.input)) continue;
        const lossS = victim.lossS(now);
        if (lossS < Infinity) options.push({ machine, victim, lossS });
      }
    }
    if (options.length === 0) this.noVictimsFor.add(shape);
    options.sort((a, b) => a.victim.priority - b.victim.priority || a.lossS - b.lossS);
    const missing: Resources = { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memoryGb: 0 };
    for (const { machine, victim } of options) {
      if (missing.cpus <= 1e-6 && missing.gpus <= 1e-6) break;
      if (this.plan.evictions.length >= this.input.maxEvictions) break;
      const helps = (missing.cpus > 1e-6 && victim.cpus > 0) || (missing.gpus > 1e-6 && victim.gpus > 0);
      if (!helps) continue;
      missing.cpus -= victim.cpus;
      missing.gpus -= victim.gpus;
      dropVictims(machine, [victim]);
      addResources(machine.stopping, victim);
      this.plan.modifiedMachines.add(machine);
      this.plan.evictions.push({ ref: victim.ref, jobId: spec.id });
    }
  }

  /** There is room for the gang, but not yet under its team's limit: both are kept for it. */
  private awaitQuota(job: JobView, chosen: Chosen[]): void {
    const { spec } = job;
    this.stopForQuota(job, spec.tasks - this.input.quota.roomWhenStopped(spec));
    for (const p of chosen) this.reserve(job, p.machine, p.tasks, QUOTA_WAIT_S);
    this.input.quota.take(spec, spec.tasks);
  }

  /** Plans the starts; returns how many. */
  private planStarts(job: JobView, chosen: Chosen[]): number {
    const { spec } = job;
    let tasks = 0;
    for (const { machine, tasks: n } of chosen) {
      this.plan.modifiedMachines.add(machine);
      subtractTasks(machine.free, spec, n);
      if (!machine.images.has(spec.image)) {
        // Later tasks of this plan see the fetch that this one begins.
        if (!machine.fetching.has(spec.image)) machine.backlogGb += spec.imageGb;
        machine.fetching.add(spec.image);
        machine.fetchPriority = Math.max(machine.fetchPriority, spec.priority);
      }
      count(job, machine.zone, n);
      this.plan.placements.push({ jobId: spec.id, machine: machine.name, tasks: n });
      tasks += n;
    }
    job.pending -= tasks;
    job.taskLimit -= tasks;
    job.fairShareTasks -= tasks;
    this.input.quota.take(spec, tasks);
    return tasks;
  }

  /** Room that others are still leaving for it: no second one is made, and nobody else gets it. */
  private keepReserved(job: JobView, mine: Reservation[], missing: number): number {
    let kept = 0;
    for (const reservation of mine) {
      const machine = this.byName.get(reservation.machine);
      if (!machine || kept >= missing) continue;
      const room = { ...machine.free };
      addResources(room, machine.stopping);
      const n = Math.min(
        reservation.tasks,
        missing - kept,
        fittingTasks(job.spec, room),
        zoneRoom(job.spec, job.zones, machine.zone),
      );
      if (n <= 0 || fittingTasks(job.spec, machine.free) >= n) continue;
      this.reserve(job, machine, n, reservation.etaS);
      count(job, machine.zone, n);
      kept += n;
    }
    this.input.quota.take(job.spec, kept);
    return kept;
  }

  private reserve(job: JobView, machine: MachineView, tasks: number, etaS: number): void {
    this.setAside(machine, job.spec, tasks, etaS);
    this.plan.reservations.push({ jobId: job.spec.id, machine: machine.name, tasks, etaS });
  }

  // ------------------------------------------------------------------ gangs

  /**
   * A gang starts whole or not at all, in one zone where it must be. What is there is kept for it while the rest is on
   * its way, or once it has waited long: otherwise smaller work would take every machine that comes free, for ever.
   */
  private placeGang(job: JobView, allowed: number): void {
    const { spec } = job;
    const want = spec.tasks;
    const underLimit = allowed >= want;
    const zones = spec.oneZone ? this.zonesOf(spec) : [null];
    let best: { zone: string | null; chosen: Chosen[]; price: number } | null = null;
    let most: { zone: string | null; have: number; soon: number; score: number } | null = null;
    for (const zone of zones) {
      const chosen = this.choose(job, want, Infinity, zone);
      const have = sum(chosen);
      const price = chosen.reduce(
        (total, p) => total + p.tasks * placementCost(job, p.machine, this.input),
        0,
      );
      // Small gangs go where little is left, so that a large one finds enough in the other zone.
      const spare = have >= want ? (this.roomIn(job, zone) - want) * SPARE_S * want : 0;
      if (have >= want && (!best || price + spare < best.price))
        best = { zone, chosen, price: price + spare };
      const soon = have >= want ? 0 : this.comingRoom(job, want - have, zone);
      // Where the rest can't be had, it has to wait for others to end.
      const rest = want - have - soon > 0 && zone !== null && this.input.isRefused(spec, zone);
      const score = have + soon - (rest ? want : 0);
      if (!most || score > most.score) most = { zone, have, soon, score };
    }
    if (best) {
      if (underLimit) this.planStarts(job, best.chosen);
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
    if (underLimit && have > 0 && (whole || job.isStarving)) {
      const etaS = whole ? 20 : this.etaS(job, want - have, zone);
      for (const p of this.choose(job, want, Infinity, zone)) this.reserve(job, p.machine, p.tasks, etaS);
      // Its quota is spoken for, too.
      this.input.quota.take(spec, want);
    }
    if (!whole) this.plan.unplaced.push({ job, tasks: want - have - soon, zone });
  }

  /** Tasks of it that the zone's open machines hold. */
  private roomIn(job: JobView, zone: string | null): number {
    let n = 0;
    for (const machine of this.open) {
      if (zone !== null && machine.zone !== zone) continue;
      if (
        fits(job.spec, machine.free) &&
        allowsPlacement(job.spec, machine.type.name, machine.zone, machine.spot)
      )
        n += fittingTasks(job.spec, machine.free);
    }
    return n;
  }

  private zonesOf(spec: JobSpec): (string | null)[] {
    const zones = new Set<string>();
    for (const m of this.input.machines) if (m.type.gpus >= spec.gpus) zones.add(m.zone);
    for (const m of this.input.incoming) zones.add(m.zone);
    return spec.zone === null ? [...zones] : [spec.zone];
  }

  private comingRoom(job: JobView, want: number, zone: string | null): number {
    let n = 0;
    for (const machine of this.input.incoming) {
      if (n >= want) break;
      if (zone !== null && machine.zone !== zone) continue;
      if (allowsPlacement(job.spec, machine.type.name, machine.zone, machine.spot))
        n += fittingTasks(job.spec, machine.free);
    }
    return Math.min(n, want);
  }

  private takeComing(job: JobView, want: number, zone: string | null): void {
    let left = want;
    for (const machine of this.input.incoming) {
      if (left <= 0) break;
      if (zone !== null && machine.zone !== zone) continue;
      if (!allowsPlacement(job.spec, machine.type.name, machine.zone, machine.spot)) continue;
      const n = Math.min(left, fittingTasks(job.spec, machine.free));
      subtractTasks(machine.free, job.spec, n);
      left -= n;
    }
  }

  /** When enough of the zone's machines should have come free. */
  private etaS(job: JobView, missing: number, zone: string | null): number {
    const times: number[] = [];
    for (const machine of this.input.machines) {
      if (zone !== null && machine.zone !== zone) continue;
      if (!allowsPlacement(job.spec, machine.type.name, machine.zone, machine.spot)) continue;
      const whole = { cpus: machine.type.cpus, gpus: machine.type.gpus, memoryGb: machine.type.memoryGb };
      if (fittingTasks(job.spec, machine.free) > 0 || !fits(job.spec, whole)) continue;
      times.push(machine.freeInS(this.input.nowMs));
    }
    times.sort((a, b) => a - b);
    return times[Math.min(missing, times.length) - 1] ?? 0;
  }

  // ------------------------------------------------------------------ choosing

  private isUnplaceable(spec: JobSpec): boolean {
    return this.unplaceable.some(
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
    if (this.isUnplaceable(spec)) return [];
    let fitting = 0;
    const candidates: { m: MachineView; c: number }[] = [];
    this.plan.machinesExamined += this.open.length;
    for (const machine of this.open) {
      if (!fits(spec, machine.free)) {
        // What is kept for another may be used by what is over before that one begins.
        if (machine.reserved) fitting++;
        if (!machine.reserved || machine.reserved.etaS < (job.taskS + fetchDelayS(spec, machine)) * 1.3 + 2)
          continue;
        const room = { ...machine.free };
        addResources(room, machine.reserved.amount);
        if (!fits(spec, room) || !allowsPlacement(spec, machine.type.name, machine.zone, machine.spot))
          continue;
        if (zone !== null && machine.zone !== zone) continue;
        this.releaseReserved(machine);
      }
      if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) continue;
      fitting++;
      if ((zone !== null && machine.zone !== zone) || job.avoid.has(machine.name)) continue;
      // Fetches share the line: lesser work begins none of its own while greater work waits for its image.
      if (
        machine.fetchPriority > spec.priority &&
        !machine.images.has(spec.image) &&
        !machine.fetching.has(spec.image)
      )
        continue;
      if (fetchDelayS(spec, machine) > withinS) continue;
      candidates.push({ m: machine, c: placementCost(job, machine, this.input) });
    }
    if (fitting === 0) this.unplaceable.push(spec);
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

  /** Tries to find room for `want` tasks by stopping others; returns for how many it will be there. */
  private makeRoom(job: JobView, want: number, withinS: number): number {
    const { spec } = job;
    // The lowest priority stops nobody, unless its team has less than its guarantee.
    if ((spec.priority === 0 && !job.isGuaranteed) || this.preemptors >= this.input.maxPreemptors) return 0;
    if (!this.input.canPreemptFor(job)) return 0;
    const shape = `${spec.team} ${spec.priority} ${job.isGuaranteed} ${spec.cpus} ${spec.gpus} ${spec.memoryGb} ${spec.zone} ${spec.spot} ${spec.types?.join()}`;
    if (this.noVictimsFor.has(shape)) return 0;
    this.preemptors++;
    let passedOver = withinS < Infinity;
    const zones = new Map(job.zones);
    const options: { m: MachineView; cost: number }[] = [];
    this.plan.machinesExamined += this.input.machines.length;
    for (const machine of this.input.machines) {
      if (!allowsPlacement(spec, machine.type.name, machine.zone, machine.spot)) continue;
      if (spec.gpus === 0 && machine.type.gpus > 0 && machine.acceleratorReserve) continue;
      const delay = fetchDelayS(spec, machine);
      if (
        job.avoid.has(machine.name) ||
        machine.reserved ||
        delay > withinS ||
        zoneRoom(spec, zones, machine.zone) <= 0
      ) {
        passedOver = true;
        continue;
      }
      const found = victimsFor(job, machine, this.input);
      if (found) options.push({ m: machine, cost: delay + found.loss * 0.3 + found.victims.length });
    }
    if (options.length === 0) {
      if (!passedOver) this.noVictimsFor.add(shape);
      return 0;
    }
    options.sort((a, b) => a.cost - b.cost || (a.m.name < b.m.name ? -1 : 1));
    const picked = new Map<MachineView, { victims: VictimView[]; tasks: number }>();
    let missing = want;
    let evictions = this.plan.evictions.length;
    for (const { m } of options) {
      const free = { ...m.free };
      const leaving = { ...m.stopping };
      const entry = { victims: [] as VictimView[], tasks: 0 };
      while (missing > 0 && zoneRoom(spec, zones, m.zone) > 0) {
        const found = victimsFor(job, m, this.input);
        if (!found || evictions + found.victims.length > this.input.maxEvictions) break;
        evictions += found.victims.length;
        entry.victims.push(...found.victims);
        entry.tasks++;
        subtractTasks(m.free, spec, 1);
        for (const v of found.victims) addResources(m.stopping, v);
        dropVictims(m, found.victims);
        zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
        missing--;
      }
      this.plan.modifiedMachines.add(m);
      Object.assign(m.free, free);
      Object.assign(m.stopping, leaving);
      if (entry.tasks > 0) picked.set(m, entry);
      if (missing <= 0) break;
    }
    if (missing > 0 && spec.kind === "gang") return 0;
    for (const [m, { victims, tasks }] of picked) {
      for (const victim of victims) {
        addResources(m.stopping, victim);
        this.plan.evictions.push({ ref: victim.ref, jobId: spec.id });
      }
      // The room is spoken for: nobody may take it in the meantime, least of all who was just stopped for it.
      this.reserve(job, m, tasks, 0);
      count(job, m.zone, tasks);
    }
    this.input.quota.take(spec, want - missing);
    return want - missing;
  }
}

/** Who is to be stopped is nobody's victim any more. */
function dropVictims(machine: MachineView, gone: VictimView[]): void {
  const left = machine.victims().filter((victim) => !gone.includes(victim));
  machine.victims = () => left;
}

function sum(list: { tasks: number }[]): number {
  return list.reduce((total, p) => total + p.tasks, 0);
}

function count(job: JobView, zone: string, tasks: number): void {
  job.zones.set(zone, (job.zones.get(zone) ?? 0) + tasks);
}
