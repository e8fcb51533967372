/** Random inputs of a scheduling cycle: jobs of all kinds, and machines with tasks that may be preempted. */
import type { PlacementInput } from "../../src/coordination/scheduling/placementPlan.js";
import { quotaView } from "../../src/coordination/scheduling/quotaView.js";
import {
  emptyMachineView,
  type JobView,
  type MachineView,
  type VictimView,
} from "../../src/coordination/scheduling/views.js";
import { QuotaUsage } from "../../src/bookkeeping/quotaUsage.js";
import type { JobKind, JobSpec, MachineType, Priority } from "../../src/protocol/model.js";
import { seededRandom, type SeededRandom } from "./seededRandom.js";

const ZONES = ["a", "b", "c"];
const IMAGES = ["i0", "i1", "i2", "i3", "i4"];
const TEAMS = ["one", "two", "three"];
const TYPES: MachineType[] = [
  machineType("small", 8, 0, 32, 0.4),
  machineType("large", 64, 0, 256, 3),
  machineType("gpu", 32, 4, 128, 12),
];

function machineType(name: string, cpus: number, gpus: number, memoryGb: number, price: number): MachineType {
  return {
    name,
    cpus,
    gpus,
    memoryGb,
    cacheGb: 100,
    fetchGbPerS: 0.5,
    price,
    spotPrice: price / 3,
    bootS: 30,
    zones: ZONES,
  };
}

function randomSpec(random: SeededRandom, id: string): JobSpec {
  const kind = random.pick<JobKind>(["array", "array", "array", "gang", "gang", "service"]);
  const gpus = random.chance(0.2) ? 1 + random.below(2) : 0;
  const oneZone = kind === "gang" && random.chance(0.7);
  return {
    id,
    className: "class",
    team: random.pick(TEAMS),
    kind,
    priority: random.below(4) as Priority,
    tasks: kind === "gang" ? 1 + random.below(12) : 1 + random.below(40),
    cpus: random.pick([0.5, 1, 2, 4, 6]),
    gpus,
    memoryGb: random.pick([1, 2, 6, 20]),
    image: random.pick(IMAGES),
    imageGb: random.pick([0.5, 2, 5]),
    types: random.chance(0.15) ? [random.pick(["small", "large", "gpu"])] : null,
    zone: random.chance(0.1) ? random.pick(ZONES) : null,
    oneZone,
    spread: !oneZone && kind === "service" && random.chance(0.5),
    spot: random.chance(0.7),
    estimateS: 20,
    checkpointS: random.chance(0.5) ? 10 : 0,
    saveS: 1,
    deadlineS: null,
  };
}

/** Returns a spec of which `maxGpus` tasks use most of the team's quota. */
function runningSpec(team: string): JobSpec {
  return { ...randomSpec(seededRandom(0), "running"), team, cpus: 9, gpus: 0.8 };
}

function randomJob(random: SeededRandom, index: number): JobView {
  const spec = randomSpec(random, `job-${String(index).padStart(3, "0")}`);
  const isArray = spec.kind === "array";
  return {
    spec,
    pendingTasks: isArray ? 1 + random.below(spec.tasks) : spec.tasks,
    taskLimit: isArray && random.chance(0.2) ? random.below(6) : Infinity,
    fairShareTasks: isArray && random.chance(0.25) ? random.below(5) : Infinity,
    isGuaranteed: random.chance(0.4),
    tasksByZone: new Map(
      spec.oneZone || random.chance(0.7) ? [] : [[random.pick(ZONES), 1 + random.below(3)]],
    ),
    avoidedMachines: new Set(random.chance(0.2) ? [`host-${random.below(20)}`] : []),
    waitTargetLeftS: random.chance(0.4) ? random.below(15) : null,
    preferredMachine: random.chance(0.1) ? `host-${random.below(20)}` : null,
    expectedTaskRunTimeS: random.pick([3, 20, 120]),
    isStarving: random.chance(0.3),
  };
}

function randomVictim(random: SeededRandom, ref: string): VictimView {
  const lossS = random.chance(0.1) ? Infinity : random.below(100);
  return {
    ref,
    jobId: `running-${random.below(30)}`,
    team: random.pick(TEAMS),
    priority: random.below(4),
    cpus: random.pick([1, 2, 4]),
    gpus: random.chance(0.3) ? 1 : 0,
    memoryGb: random.pick([1, 4, 8]),
    lossS: (nowMs) => lossS + nowMs / 1e6,
  };
}

function randomMachine(random: SeededRandom, name: string, busyShare: number): MachineView {
  const type = random.pick([...TYPES, TYPES[0]!]);
  const reserve = type.gpus > 0 && random.chance(0.7) ? { cpus: 4, memoryGb: 12 } : null;
  const view = emptyMachineView(type, random.pick(ZONES), random.chance(0.4), reserve);
  view.name = name;
  view.zoneHasController = view.zone !== "c";
  for (const image of IMAGES) {
    if (random.chance(0.3)) view.images.add(image);
    else if (random.chance(0.1)) view.fetching.add(image);
  }
  view.fetchBacklogGb = view.fetching.size * 2;
  if (view.fetching.size > 0) view.fetchPriority = random.below(4);
  const victims: VictimView[] = [];
  if (random.chance(busyShare)) {
    for (let i = 0; view.free.cpus > 1 && i < 24; i++) {
      const victim = randomVictim(random, `${name}/${i}`);
      if (victim.cpus > view.free.cpus || victim.memoryGb > view.free.memoryGb) break;
      if (victim.gpus > view.free.gpus) victim.gpus = 0;
      view.free.cpus -= victim.cpus;
      view.free.gpus -= victim.gpus;
      view.free.memoryGb -= victim.memoryGb;
      view.runsGpuWork ||= victim.gpus > 0;
      if (random.chance(0.1)) view.stopping.cpus += victim.cpus;
      else victims.push(victim);
    }
  } else if (random.chance(0.5)) view.idleSinceMs = -random.below(60_000);
  view.victims = () => victims;
  const timeUntilIdleS = random.below(90);
  view.timeUntilIdleS = () => timeUntilIdleS;
  return view;
}

/** Returns the input of a cycle with 90 jobs; `busyShare` is the share of machines that run tasks. */
export function randomPlacementInput(seed: number, machines: number, busyShare: number): PlacementInput {
  const random = seededRandom(seed);
  const jobs = Array.from({ length: 90 }, (_, i) => randomJob(random, i));
  const usage = new QuotaUsage(
    TEAMS.map((name, index) => ({
      name,
      guaranteedCpus: 100,
      guaranteedGpus: 4,
      maxCpus: 150 + 200 * index,
      maxGpus: 10 + 10 * index,
    })),
  );
  // With odd seeds, running tasks that end by themselves use most of each team's quota.
  if (seed % 2 === 1)
    for (const team of usage.teams.values()) usage.add(runningSpec(team.name), team.maxGpus);
  return {
    jobs,
    machines: Array.from({ length: machines }, (_, i) => randomMachine(random, `host-${i}`, busyShare)),
    incoming: Array.from({ length: 8 }, () => randomMachine(random, "", 0)),
    reservations: [],
    quota: quotaView(usage, new Map()),
    maxEvictions: 40,
    maxVictimSearches: 8,
    canPreemptFor: (job) => job.spec.priority > 0 || job.isGuaranteed,
    isCapacityRefused: (spec, zone) => zone === "b" && spec.gpus > 0,
    isGuaranteed: (jobId) => jobId.charCodeAt(jobId.length - 1) % 2 === 0,
    interruptionsPerHour: 2,
    nowMs: 1_000_000,
  };
}
