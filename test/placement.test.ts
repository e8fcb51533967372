import assert from "node:assert/strict";
import test from "node:test";
import { addResources } from "../src/coordination/scheduling/fitting.js";
import { place } from "../src/coordination/scheduling/placement.js";
import type {
  PlacementInput,
  PlacementPlan,
  Reservation,
} from "../src/coordination/scheduling/placementPlan.js";
import { quotaView } from "../src/coordination/scheduling/quotaView.js";
import {
  emptyMachineView,
  type JobView,
  type MachineView,
  type VictimView,
} from "../src/coordination/scheduling/views.js";
import { QuotaUsage } from "../src/bookkeeping/quotaUsage.js";
import type { JobKind, JobSpec, MachineType, Priority } from "../src/protocol/model.js";
import { digestOf, seededRandom, type SeededRandom } from "./fakes/seededRandom.js";

// Guards against unintended changes of placement: a digest of each plan and of the views that the cycle modified reveals
// any change in the order of candidates or in reservations.

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

function randomInput(seed: number, machines: number, busyShare: number): PlacementInput {
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

/** Returns the plan and the modified views without functions, as input of the digest. */
function digestInput(plan: PlacementPlan, input: PlacementInput): unknown {
  const machines = [...input.machines, ...input.incoming].map((view) => ({
    name: view.name,
    free: view.free,
    stopping: view.stopping,
    reserved: view.reserved,
    fetching: view.fetching,
    fetchBacklogGb: view.fetchBacklogGb,
    fetchPriority: view.fetchPriority,
    victims: view.victims().map((victim) => victim.ref),
  }));
  const jobs = input.jobs.map((job) => [
    job.spec.id,
    job.pendingTasks,
    job.taskLimit,
    job.fairShareTasks,
    job.tasksByZone,
  ]);
  return {
    ...plan,
    unplaced: plan.unplaced.map((rest) => [rest.job.spec.id, rest.tasks, rest.zone]),
    modifiedMachines: [...plan.modifiedMachines].map((view) => view.name),
    machines,
    jobs,
  };
}

/** Returns the next cycle's input: reserved resources are free again, and stopping tasks on odd machines have ended. */
function nextCycle(input: PlacementInput, reservations: Reservation[]): PlacementInput {
  for (const [index, view] of input.machines.entries()) {
    if (view.reserved) addResources(view.free, view.reserved.amount);
    if (index % 2 === 0) continue;
    addResources(view.free, view.stopping);
    view.stopping = { cpus: 0, gpus: 0, memoryGb: 0 };
  }
  return { ...input, reservations, nowMs: input.nowMs + 1000 };
}

interface CycleSummary {
  placements: number;
  evictions: number;
  unplaced: number;
  reservations: number;
  machinesExamined: number;
  digest: string;
}

function runCycle(input: PlacementInput): { plan: PlacementPlan; summary: CycleSummary } {
  const plan = place(input);
  return {
    plan,
    summary: {
      placements: plan.placements.length,
      evictions: plan.evictions.length,
      unplaced: plan.unplaced.length,
      reservations: plan.reservations.length,
      machinesExamined: plan.machinesExamined,
      digest: digestOf(digestInput(plan, input)),
    },
  };
}

test("two cycles over random snapshots produce the recorded plans", () => {
  const cases: { seed: number; machines: number; busyShare: number; expected: CycleSummary[] }[] = [
    {
      seed: 1,
      machines: 40,
      busyShare: 0.9,
      expected: [
        {
          placements: 30,
          evictions: 40,
          unplaced: 53,
          reservations: 14,
          machinesExamined: 3552,
          digest: "85b52024ba034ce7",
        },
        {
          placements: 12,
          evictions: 40,
          unplaced: 34,
          reservations: 17,
          machinesExamined: 1452,
          digest: "8218191bb089785b",
        },
      ],
    },
    {
      seed: 2,
      machines: 40,
      busyShare: 0.9,
      expected: [
        {
          placements: 56,
          evictions: 29,
          unplaced: 63,
          reservations: 9,
          machinesExamined: 5086,
          digest: "c59312d1f503943e",
        },
        {
          placements: 15,
          evictions: 13,
          unplaced: 53,
          reservations: 15,
          machinesExamined: 1584,
          digest: "9b0951215aea44ca",
        },
      ],
    },
    {
      seed: 3,
      machines: 80,
      busyShare: 0.6,
      expected: [
        {
          placements: 65,
          evictions: 40,
          unplaced: 0,
          reservations: 37,
          machinesExamined: 6309,
          digest: "74d2ebeb1bf621a3",
        },
        {
          placements: 0,
          evictions: 35,
          unplaced: 0,
          reservations: 12,
          machinesExamined: 1270,
          digest: "f1005e957894d2f1",
        },
      ],
    },
    {
      seed: 4,
      machines: 80,
      busyShare: 0.97,
      expected: [
        {
          placements: 77,
          evictions: 40,
          unplaced: 61,
          reservations: 15,
          machinesExamined: 9726,
          digest: "0f61bb442669f6df",
        },
        {
          placements: 36,
          evictions: 40,
          unplaced: 15,
          reservations: 26,
          machinesExamined: 1962,
          digest: "e4337f7a0a72aa49",
        },
      ],
    },
    {
      seed: 5,
      machines: 160,
      busyShare: 0.4,
      expected: [
        {
          placements: 99,
          evictions: 40,
          unplaced: 0,
          reservations: 24,
          machinesExamined: 11142,
          digest: "9e68c751c6b81ff8",
        },
        {
          placements: 0,
          evictions: 40,
          unplaced: 0,
          reservations: 7,
          machinesExamined: 2749,
          digest: "2a09b36a2fc838f1",
        },
      ],
    },
    {
      seed: 6,
      machines: 160,
      busyShare: 0.9,
      expected: [
        {
          placements: 190,
          evictions: 34,
          unplaced: 17,
          reservations: 26,
          machinesExamined: 14985,
          digest: "82f725de6afec90e",
        },
        {
          placements: 61,
          evictions: 14,
          unplaced: 1,
          reservations: 11,
          machinesExamined: 1860,
          digest: "f8d1a08af3418170",
        },
      ],
    },
    {
      seed: 7,
      machines: 300,
      busyShare: 0.95,
      expected: [
        {
          placements: 124,
          evictions: 40,
          unplaced: 4,
          reservations: 41,
          machinesExamined: 21186,
          digest: "b45ceeb8ee00e7f3",
        },
        {
          placements: 0,
          evictions: 40,
          unplaced: 0,
          reservations: 0,
          machinesExamined: 1500,
          digest: "0b09041e46d1d870",
        },
      ],
    },
    {
      seed: 8,
      machines: 20,
      busyShare: 1,
      expected: [
        {
          placements: 20,
          evictions: 40,
          unplaced: 69,
          reservations: 19,
          machinesExamined: 3144,
          digest: "2143b9e945021351",
        },
        {
          placements: 14,
          evictions: 7,
          unplaced: 76,
          reservations: 14,
          machinesExamined: 2140,
          digest: "a21520799725afe3",
        },
      ],
    },
  ];
  for (const { seed, machines, busyShare, expected } of cases) {
    const input = randomInput(seed, machines, busyShare);
    const first = runCycle(input);
    const second = runCycle(nextCycle(input, first.plan.reservations));
    assert.deepEqual([first.summary, second.summary], expected, `seed ${seed}`);
  }
});

test("a one-zone gang is left unplaced without a zone when there are no machines", () => {
  const input = randomInput(1, 0, 0);
  const gang = input.jobs.find(({ spec }) => spec.oneZone && spec.zone === null)!;
  const plan = place({ ...input, jobs: [gang], incoming: [] });
  assert.deepEqual(plan.unplaced, [{ job: gang, tasks: gang.spec.tasks, zone: null }]);
});
