import assert from "node:assert/strict";
import test from "node:test";
import { Machine, type Attempt } from "../src/bookkeeping/workload.js";
import {
  takeSnapshot,
  type ConsolidationSnapshotContext,
} from "../src/coordination/consolidation/consolidationSnapshot.js";
import type {
  MachineSnapshot,
  TaskSnapshot,
  MachineLoadSnapshot,
  Move,
} from "../src/coordination/consolidation/consolidationTypes.js";
import { loadOf, loadLevelOf } from "../src/coordination/consolidation/machineLoad.js";
import { planMerges } from "../src/coordination/consolidation/machineMerging.js";
import { planOffloads } from "../src/coordination/consolidation/offloading.js";
import type { JobSpec, MachineType } from "../src/protocol/model.js";
import { defaultOperatorSettings } from "../src/settings/operator.js";
import { digestOf, seededRandom, type SeededRandom } from "./fakes/seededRandom.js";

test("a load is low below half of the high-load share, medium below all of it, and high from there on", () => {
  for (const [load, level] of [
    [0, "low"],
    [0.39, "low"],
    [0.4, "medium"],
    [0.1 + 0.2 + 0.1, "medium"],
    [0.79, "medium"],
    [0.8, "high"],
    [1, "high"],
  ] as const) {
    assert.equal(loadLevelOf(load, 0.8), level, `load ${load}`);
  }
});

test("a load is the largest share that a machine uses of the capacity of any one resource", () => {
  const total = { cpus: 10, gpus: 0, memoryGb: 100 };
  assert.equal(loadOf({ cpus: 2, gpus: 0, memoryGb: 50 }, total), 0.5);
  assert.equal(loadOf({ cpus: 9, gpus: 0, memoryGb: 50 }, total), 0.9);
});

const capacity = { cpus: 100, gpus: 0, memoryGb: 100 };
let nextRef = 0;
function task(percent: number, extra: Partial<TaskSnapshot> = {}): TaskSnapshot {
  return {
    ref: nextRef++,
    jobId: "j",
    cpus: percent,
    gpus: 0,
    memoryGb: 0,
    isMovable: true,
    canMoveTo: () => true,
    ...extra,
  };
}
function machine(name: string, tasks: TaskSnapshot[], acceptsTasks = true): MachineSnapshot {
  return { name, capacity, tasks, acceptsTasks };
}
const formatMoves = (moves: { from: string; to: string }[]): string[] =>
  moves.map((move) => `${move.from}>${move.to}`);

test("lightly loaded machines are merged (the paper's squeeze)", () => {
  const cases: { name: string; machines: MachineSnapshot[]; maxMoves?: number; want: string[] }[] = [
    {
      // The paper's figure 2: loads of 4, 6, 10 and 26 and a bound of 33, which only the last merge would exceed.
      name: "merges the two lightest machines again and again while the load is below half of the high-load share",
      machines: [
        machine("a", [task(4)]),
        machine("b", [task(6)]),
        machine("c", [task(10)]),
        machine("d", [task(26)]),
      ],
      want: ["a>b", "b>c", "b>c"],
    },
    {
      name: "does not merge two machines whose loads add up to half of the high-load share",
      machines: [machine("a", [task(20)]), machine("b", [task(20)])],
      want: [],
    },
    {
      name: "does not merge a machine of medium load",
      machines: [machine("a", [task(5)]), machine("b", [task(45)])],
      want: [],
    },
    {
      name: "does not empty a machine in part",
      machines: [
        machine("a", [task(2), task(3, { isMovable: false })]),
        machine("b", [task(6, { isMovable: false })]),
      ],
      want: [],
    },
    {
      name: "empties the heavier machine if only its tasks are movable",
      machines: [machine("a", [task(2, { isMovable: false })]), machine("b", [task(6)])],
      want: ["b>a"],
    },
    {
      name: "limits the number of moved tasks",
      machines: [machine("a", [task(1), task(1), task(1)]), machine("b", [task(9), task(1)])],
      maxMoves: 2,
      want: ["b>a", "b>a"],
    },
    {
      name: "moves tasks only to machines that they may run on",
      machines: [
        machine("a", [task(1, { canMoveTo: () => false })]),
        machine("b", [task(2, { canMoveTo: (name) => name === "c" })]),
        machine("c", [task(3, { isMovable: false })]),
      ],
      want: ["b>c"],
    },
    {
      name: "moves no task to a machine that does not accept tasks",
      machines: [machine("a", [task(1)]), machine("b", [task(2, { isMovable: false })], false)],
      want: [],
    },
  ];
  for (const row of cases) {
    assert.deepEqual(
      formatMoves(
        planMerges(row.machines, {
          highLoadShare: row.name.includes("again") ? 0.66 : 0.8,
          maxMoves: row.maxMoves ?? 4,
        }),
      ),
      row.want,
      row.name,
    );
  }
});

test("a task of an overloaded machine moves to a lightly loaded one (the paper's release)", () => {
  const withLoads = (
    snapshot: MachineSnapshot,
    reportedLoad: number,
    plannedLoad: number,
  ): MachineLoadSnapshot => ({
    ...snapshot,
    reportedLoad,
    plannedLoad,
  });
  const light = withLoads(machine("light", [task(5)]), 0.05, 0.05);
  const lighter = withLoads(machine("lighter", []), 0, 0);
  const cases: {
    name: string;
    overloaded: MachineLoadSnapshot;
    others?: MachineLoadSnapshot[];
    want: string[];
  }[] = [
    {
      name: "relieves an overloaded machine whose reported load exceeds its planned load",
      overloaded: withLoads(machine("overloaded", [task(30), task(20)]), 0.95, 0.5),
      want: ["overloaded>lighter"],
    },
    {
      name: "does not relieve a machine whose reported load was planned",
      overloaded: withLoads(machine("overloaded", [task(95)]), 0.95, 0.95),
      want: [],
    },
    {
      name: "does not relieve a machine below the overload share",
      overloaded: withLoads(machine("overloaded", [task(30)]), 0.85, 0.3),
      want: [],
    },
    {
      name: "does not move a gang member or a task that is expensive to restart",
      overloaded: withLoads(machine("overloaded", [task(30, { isMovable: false })]), 0.95, 0.3),
      want: [],
    },
    {
      name: "does not raise the load of a target above the high-load share",
      overloaded: withLoads(machine("overloaded", [task(85)]), 0.95, 0.85),
      want: [],
    },
    {
      name: "moves nothing if there is no target",
      overloaded: withLoads(machine("overloaded", [task(30)]), 0.95, 0.3),
      others: [],
      want: [],
    },
  ];
  for (const row of cases) {
    const moves = planOffloads([row.overloaded, ...(row.others ?? [light, lighter])], {
      highLoadShare: 0.8,
      overloadShare: 0.89,
      maxMoves: 4,
    });
    assert.deepEqual(formatMoves(moves), row.want, row.name);
  }
  const largestTask = task(30);
  const overloaded = withLoads(machine("overloaded", [task(20), largestTask]), 0.95, 0.5);
  assert.equal(
    planOffloads([overloaded, lighter], { highLoadShare: 0.8, overloadShare: 0.89, maxMoves: 4 })[0]?.ref,
    largestTask.ref,
    "the largest task moves first",
  );
});

function randomSnapshot(random: SeededRandom, name: string): MachineLoadSnapshot {
  const tasks = Array.from({ length: random.below(5) }, () => {
    const allowed = random.below(3);
    return task(1 + random.below(random.pick([6, 40])), {
      ref: random.below(1_000_000),
      memoryGb: random.below(10),
      isMovable: random.chance(0.85),
      canMoveTo: (to) => allowed === 0 || to.charCodeAt(to.length - 1) % 3 !== 0,
    });
  });
  const plannedLoad = tasks.reduce((sum, { cpus }) => sum + cpus, 0) / 100;
  return {
    ...machine(name, tasks, random.chance(0.9)),
    plannedLoad,
    reportedLoad: plannedLoad + (random.chance(0.3) ? random.below(90) / 100 : 0),
  };
}

test("moves between randomly loaded machines equal the recorded ones", () => {
  const cases: { seed: number; machines: number; merges: string; offloads: string }[] = [
    { seed: 1, machines: 12, merges: "4 2dc43bc4fb0326d7", offloads: "0 4f53cda18c2baa0c" },
    { seed: 2, machines: 40, merges: "13 831244e970ed95c7", offloads: "5 3030569ef41f5a81" },
    { seed: 3, machines: 200, merges: "60 cc8b11ec6fa004f4", offloads: "19 c06194b1bb974359" },
    { seed: 4, machines: 600, merges: "60 78d16fb4caffcafa", offloads: "37 0e689011d25becbd" },
  ];
  for (const { seed, machines, ...want } of cases) {
    const random = seededRandom(seed);
    const snapshots = Array.from({ length: machines }, (_, i) => randomSnapshot(random, `host-${i}`));
    const merges = planMerges(snapshots, { highLoadShare: 0.8, maxMoves: 60 });
    const offloads = planOffloads(snapshots, { highLoadShare: 0.8, overloadShare: 0.89, maxMoves: 60 });
    const summarize = (moves: Move[]): string => `${moves.length} ${digestOf(moves)}`;
    assert.deepEqual({ merges: summarize(merges), offloads: summarize(offloads) }, want, `seed ${seed}`);
  }
});

const HEARTBEAT_S = 1;
const NOW_MS = 100_000;

type TestAttempt = Pick<Attempt, "phase" | "runningMs" | "stop">;

/** A machine with 100 CPUs that is up, with one attempt of a job with that spec. */
function occupiedMachine(
  spec: Partial<JobSpec>,
  state: Partial<TestAttempt>,
  sinceContactMs: number,
): Machine {
  const type = { name: "m", ...capacity } as MachineType;
  const occupied = new Machine("host-1", "a", 0, 0);
  occupied.type = type;
  occupied.state = "up";
  occupied.lastContactMs = NOW_MS - sinceContactMs;
  const job = { id: "job-1", spec: { kind: "array", tasks: 1, checkpointS: 0, ...task(10), ...spec } };
  const attempt = { job, machine: occupied, phase: "running", runningMs: NOW_MS, stop: null, ...state };
  occupied.attempts.add(attempt as unknown as Attempt);
  return occupied;
}

test("a round moves only tasks that are cheap to restart, from machines whose tasks are known", () => {
  const stop = { sinceMs: 0, graceS: 0, isSent: false, lastSentMs: 0 };
  const old = { runningMs: NOW_MS - 60_000 };
  type Case = [
    string,
    Partial<JobSpec>,
    Partial<TestAttempt>,
    number,
    { movable: boolean; accepts: boolean },
  ];
  const cases: Case[] = [
    ["a task that has just started", {}, {}, 0, { movable: true, accepts: true }],
    [
      "a task that fetches its image",
      {},
      { phase: "fetching", runningMs: null },
      0,
      { movable: true, accepts: true },
    ],
    [
      "a task in the waiting phase",
      {},
      { phase: "waiting", runningMs: null },
      0,
      { movable: false, accepts: true },
    ],
    ["a task that has run for a long time", {}, old, 0, { movable: false, accepts: true }],
    ["a task with checkpoints", { checkpointS: 5 }, old, 0, { movable: true, accepts: true }],
    [
      "a task that saves a checkpoint",
      { checkpointS: 5 },
      { ...old, phase: "saving" },
      0,
      { movable: false, accepts: true },
    ],
    ["a service", { kind: "service" }, {}, 0, { movable: false, accepts: true }],
    ["a member of a gang", { kind: "gang", tasks: 2 }, {}, 0, { movable: false, accepts: true }],
    ["a gang of one", { kind: "gang" }, {}, 0, { movable: true, accepts: true }],
    ["a task that is being stopped", {}, { stop }, 0, { movable: false, accepts: false }],
    ["a task that no heartbeat has reported", {}, { phase: null }, 0, { movable: false, accepts: false }],
    ["a heartbeat 1.4 intervals ago", {}, {}, 1400, { movable: true, accepts: true }],
    ["a heartbeat 1.5 intervals ago", {}, {}, 1500, { movable: false, accepts: false }],
  ];
  for (const [name, spec, state, sinceContactMs, want] of cases) {
    const machines = [occupiedMachine(spec, state, sinceContactMs)];
    const context = {
      jobs: new Map(),
      machines: new Map(machines.map((machine) => [machine.name, machine])),
      operator: defaultOperatorSettings,
      heartbeatS: HEARTBEAT_S,
    } as unknown as ConsolidationSnapshotContext;
    const snapshot = takeSnapshot(context, NOW_MS);
    const [machineSnapshot] = snapshot.machines;
    assert.deepEqual(
      { movable: machineSnapshot?.tasks[0]?.isMovable, accepts: machineSnapshot?.acceptsTasks },
      want,
      name,
    );
    assert.deepEqual(snapshot.attempts, [...machines[0]!.attempts], name);
  }
});
