import type { JobSpec } from "../protocol/model.js";
import { addTo, allows, fits, howMany, takeFrom, zoneRoom } from "./views.js";
import type { JobView, MachineView, QuotaView, VictimView } from "./views.js";

export interface Placement {
  jobId: string;
  machine: string;
  tasks: number;
}

export interface PlacementPlan {
  placements: Placement[];
  /** Attempts to stop (their `ref`), and for whom. */
  evictions: { ref: number; jobId: string }[];
  /** What found no place on a machine that is up. */
  unplaced: { job: JobView; tasks: number }[];
}

export interface PlacementInput {
  /** In the order in which they are to be served. */
  jobs: JobView[];
  machines: MachineView[];
  quota: QuotaView;
  maxEvictions: number;
}

/** Seconds that a task would wait for its image there. */
export function fetchDelayS(spec: JobSpec, m: MachineView): number {
  if (m.images.has(spec.image)) return 0;
  const rate = m.type.fetchGbPerS;
  if (m.fetching.has(spec.image)) return m.backlogGb / rate;
  return (m.backlogGb + spec.imageGb) / rate;
}

/** Lower is better; roughly seconds. */
function cost(job: JobView, m: MachineView): number {
  const { spec } = job;
  let c = fetchDelayS(spec, m);
  if (job.prefer === m.name) c -= 10;
  // Cheap machines for whoever may use them: the others are left to those who may not.
  if (spec.spot && !m.spot) c += 4;
  if (spec.gpus === 0 && m.type.gpus > 0) c += 8;
  // A zone without controllers is silent when it is cut off, and its leases run out.
  if (spec.kind === "service" && !m.withControllers) c += 3;
  // Dear machines last, so that they are the ones that empty and are given back.
  c += Math.min(6, (m.spot ? m.type.spotPrice : m.type.price) / 5);
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
  if (spec.gpus > 0 || m.type.gpus === 0 || !m.claim) return n;
  if (spec.kind === "service" || !m.gpuBusy) return 0;
  const spare = {
    cpus: m.free.cpus - m.free.gpus * m.claim.cpus,
    gpus: 0,
    memoryGb: m.free.memoryGb - m.free.gpus * m.claim.memoryGb,
  };
  return Math.min(n, howMany(spec, spare));
}

function mayEvict(job: JobView, victim: VictimView): boolean {
  if (victim.jobId === job.spec.id) return false;
  if (victim.priority < job.spec.priority) return true;
  // So that a team gets its guarantee, what another team borrows may be stopped.
  return job.guaranteed && victim.borrowed && victim.team !== job.spec.team;
}

/** Places what it can, in order; makes room by stopping lesser work where the rules of preemption allow. Pure. */
export function place(input: PlacementInput): PlacementPlan {
  const plan: PlacementPlan = { placements: [], evictions: [], unplaced: [] };
  for (const job of input.jobs) {
    const { spec } = job;
    let want = Math.min(job.pending, input.quota.room(spec));
    if (want <= 0) continue;
    if (spec.kind === "gang") {
      if (job.pending < spec.tasks || want < spec.tasks) continue;
      want = spec.tasks;
    }
    // Room where its image lies, even if lesser work has to make it, comes before waiting for a fetch elsewhere.
    const quick = job.quickS;
    const chosen = quick === null ? [] : choose(job, want, input, quick);
    let placed = sum(chosen);
    if (quick !== null && placed < want && spec.kind !== "gang") {
      const made = makeRoom(job, want - placed, input, plan, quick);
      want -= made;
    }
    if (placed < want) chosen.push(...choose(job, want - placed, input, Infinity));
    placed = sum(chosen);
    if (spec.kind === "gang" && placed < want) {
      // All of it or nothing.
      for (const p of chosen) {
        takeFrom(p.machine.free, spec, -p.tasks);
        count(job, p.machine.zone, -p.tasks);
      }
      const made = makeRoom(job, want, input, plan, Infinity);
      if (made < want) plan.unplaced.push({ job, tasks: want - made });
      continue;
    }
    for (const p of chosen) plan.placements.push({ jobId: spec.id, machine: p.machine.name, tasks: p.tasks });
    input.quota.take(spec, placed);
    const missing = want - placed;
    if (missing <= 0) continue;
    const made = makeRoom(job, missing, input, plan, Infinity);
    if (made < missing) plan.unplaced.push({ job, tasks: missing - made });
  }
  return plan;
}

function sum(list: { tasks: number }[]): number {
  return list.reduce((total, p) => total + p.tasks, 0);
}

function count(job: JobView, zone: string, tasks: number): void {
  job.zones.set(zone, (job.zones.get(zone) ?? 0) + tasks);
}

function choose(
  job: JobView,
  want: number,
  input: PlacementInput,
  withinS: number,
): { machine: MachineView; tasks: number }[] {
  const { spec } = job;
  const candidates = input.machines.filter(
    (m) =>
      m.placeable &&
      allows(spec, m.type.name, m.zone, m.spot) &&
      !job.avoid.has(m.name) &&
      fits(spec, m.free) &&
      // Fetches share the line: lesser work begins none of its own while greater work waits for its image.
      (m.fetchRank <= spec.priority || m.images.has(spec.image) || m.fetching.has(spec.image)) &&
      fetchDelayS(spec, m) <= withinS,
  );
  if (spec.oneZone && want > 1) {
    // The zone that holds most of it, the quickest of those.
    let best: { machine: MachineView; tasks: number }[] = [];
    for (const zone of new Set(candidates.map((m) => m.zone))) {
      const got = fill(
        job,
        want,
        candidates.filter((m) => m.zone === zone),
      );
      if (sum(got) > sum(best)) best = got;
      for (const p of got) {
        takeFrom(p.machine.free, spec, -p.tasks);
        count(job, p.machine.zone, -p.tasks);
      }
    }
    for (const p of best) {
      takeFrom(p.machine.free, spec, p.tasks);
      count(job, p.machine.zone, p.tasks);
    }
    return best;
  }
  return fill(job, want, candidates);
}

function fill(
  job: JobView,
  want: number,
  candidates: MachineView[],
): { machine: MachineView; tasks: number }[] {
  const { spec } = job;
  const out: { machine: MachineView; tasks: number }[] = [];
  const left = new Set(candidates);
  let missing = want;
  while (missing > 0 && left.size > 0) {
    let best: MachineView | null = null;
    let bestCost = Infinity;
    for (const m of left) {
      const c = cost(job, m);
      if (c < bestCost) {
        best = m;
        bestCost = c;
      }
    }
    if (!best) break;
    const n = Math.min(missing, roomFor(spec, best), zoneRoom(spec, job.zones, best.zone));
    left.delete(best);
    if (n <= 0) continue;
    takeFrom(best.free, spec, n);
    if (!best.images.has(spec.image)) {
      // Later tasks of this plan see the fetch that this one begins.
      if (!best.fetching.has(spec.image)) best.backlogGb += spec.imageGb;
      best.fetching.add(spec.image);
      best.fetchRank = Math.max(best.fetchRank, spec.priority);
    }
    count(job, best.zone, n);
    out.push({ machine: best, tasks: n });
    missing -= n;
  }
  return out;
}

/** Tries to find room for `want` tasks by stopping others; returns for how many it will be there. */
function makeRoom(
  job: JobView,
  want: number,
  input: PlacementInput,
  plan: PlacementPlan,
  withinS: number,
): number {
  const { spec } = job;
  const zones = new Map(job.zones);
  const picked: { m: MachineView; victims: VictimView[]; tasks: number }[] = [];
  const undo: (() => void)[] = [];
  let missing = want;
  const options = input.machines.filter(
    (m) =>
      m.placeable &&
      allows(spec, m.type.name, m.zone, m.spot) &&
      !job.avoid.has(m.name) &&
      (spec.gpus > 0 || m.type.gpus === 0 || !m.claim) &&
      fetchDelayS(spec, m) <= withinS,
  );
  const tried = new Set<MachineView>();
  while (missing > 0) {
    let best: { m: MachineView; victims: VictimView[]; cost: number } | null = null;
    for (const m of options) {
      if (tried.has(m) || zoneRoom(spec, zones, m.zone) <= 0) continue;
      const room = { ...m.free };
      addTo(room, m.leaving);
      const victims: VictimView[] = [];
      let loss = 0;
      if (!fits(spec, room)) {
        const able = m.victims
          .filter((v) => mayEvict(job, v))
          .sort((a, b) => a.priority - b.priority || a.lossS - b.lossS);
        for (const v of able) {
          if (fits(spec, room)) break;
          // Only what helps.
          if (
            v.gpus === 0 &&
            spec.gpus > room.gpus + 1e-6 &&
            spec.cpus <= room.cpus &&
            spec.memoryGb <= room.memoryGb
          )
            continue;
          victims.push(v);
          addTo(room, v);
          loss += v.lossS;
        }
      }
      if (!fits(spec, room)) continue;
      const c = fetchDelayS(spec, m) + loss * 0.3 + victims.length;
      if (!best || c < best.cost) best = { m, victims, cost: c };
    }
    if (!best) break;
    const { m, victims } = best;
    if (plan.evictions.length + victims.length > input.maxEvictions) break;
    // The room is spoken for: no lesser job may take it in the meantime.
    takeFrom(m.free, spec, 1);
    m.victims = m.victims.filter((v) => !victims.includes(v));
    for (const v of victims) addTo(m.leaving, v);
    undo.push(() => takeFrom(m.free, spec, -1));
    zones.set(m.zone, (zones.get(m.zone) ?? 0) + 1);
    picked.push({ m, victims, tasks: 1 });
    missing--;
  }
  if (missing > 0 && spec.kind === "gang") {
    for (const back of undo) back();
    for (const p of picked) {
      p.m.victims.push(...p.victims);
      for (const v of p.victims) addTo(p.m.leaving, { cpus: -v.cpus, gpus: -v.gpus, memoryGb: -v.memoryGb });
    }
    return 0;
  }
  for (const p of picked) for (const v of p.victims) plan.evictions.push({ ref: v.ref, jobId: spec.id });
  input.quota.take(spec, picked.length);
  for (const p of picked) count(job, p.m.zone, 1);
  return picked.length;
}
