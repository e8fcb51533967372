import assert from "node:assert/strict";
import test from "node:test";
import { addResources } from "../src/coordination/scheduling/fitting.js";
import { place } from "../src/coordination/scheduling/placement.js";
import type {
  PlacementInput,
  PlacementPlan,
  Reservation,
} from "../src/coordination/scheduling/placementPlan.js";
import { randomPlacementInput } from "./fakes/randomPlacementInput.js";
import { digestOf } from "./fakes/seededRandom.js";

// Guards against unintended changes of placement: a digest of each plan and of the views that the cycle modified reveals
// any change in the order of candidates or in reservations.

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
    const input = randomPlacementInput(seed, machines, busyShare);
    const first = runCycle(input);
    const second = runCycle(nextCycle(input, first.plan.reservations));
    assert.deepEqual([first.summary, second.summary], expected, `seed ${seed}`);
  }
});

test("a one-zone gang is left unplaced without a zone when there are no machines", () => {
  const input = randomPlacementInput(1, 0, 0);
  const gang = input.jobs.find(({ spec }) => spec.oneZone && spec.zone === null)!;
  const plan = place({ ...input, jobs: [gang], incoming: [] });
  assert.deepEqual(plan.unplaced, [{ job: gang, tasks: gang.spec.tasks, zone: null }]);
});
