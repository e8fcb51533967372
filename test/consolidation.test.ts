import assert from "node:assert/strict";
import test from "node:test";
import { Machine, type Attempt } from "../src/bookkeeping/workload.js";
import {
  takeSnapshot,
  type ConsolidationSnapshotContext,
} from "../src/coordination/consolidation/consolidationSnapshot.js";
import type {
  LoadedMachine,
  LoadedTask,
  MeasuredMachine,
  Move,
} from "../src/coordination/consolidation/loadedMachine.js";
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

test("a load is the share of the resource of which a machine uses the largest share", () => {
  const total = { cpus: 10, gpus: 0, memoryGb: 100 };
  assert.equal(loadOf({ cpus: 2, gpus: 0, memoryGb: 50 }, total), 0.5);
  assert.equal(loadOf({ cpus: 9, gpus: 0, memoryGb: 50 }, total), 0.9);
});

const capacity = { cpus: 100, gpus: 0, memoryGb: 100 };
let refs = 0;
function task(percent: number, extra: Partial<LoadedTask> = {}): LoadedTask {
  return {
    ref: refs++,
    jobId: "j",
    cpus: percent,
    gpus: 0,
    memoryGb: 0,
    isMovable: true,
    canMoveTo: () => true,
    ...extra,
  };
}
function machine(name: string, tasks: LoadedTask[], acceptsTasks = true): LoadedMachine {
  return { name, capacity, tasks, acceptsTasks };
}
const routes = (moves: { from: string; to: string }[]): string[] =>
  moves.map((move) => `${move.from}>${move.to}`);

test("lightly loaded machines are emptied onto one another (the paper's squeeze)", () => {
  const cases: { name: string; machines: LoadedMachine[]; cap?: number; want: string[] }[] = [
    {
      // The paper's figure 2: loads of 4, 6, 10 and 26 under a bound of 33; all but the last step fit there too.
      name: "merges the two lightest again and again while under half of the high-load share",
      machines: [
        machine("a", [task(4)]),
        machine("b", [task(6)]),
        machine("c", [task(10)]),
        machine("d", [task(26)]),
      ],
      want: ["a>b", "b>c", "b>c"],
    },
    {
      name: "stops at half of the high-load share",
      machines: [machine("a", [task(20)]), machine("b", [task(20)])],
      want: [],
    },
    {
      name: "leaves machines of medium load alone",
      machines: [machine("a", [task(5)]), machine("b", [task(45)])],
      want: [],
    },
    {
      name: "empties a machine whole or not at all",
      machines: [
        machine("a", [task(2), task(3, { isMovable: false })]),
        machine("b", [task(6, { isMovable: false })]),
      ],
      want: [],
    },
    {
      name: "turns the merge round when only the heavier can move",
      machines: [machine("a", [task(2, { isMovable: false })]), machine("b", [task(6)])],
      want: ["b>a"],
    },
    {
      name: "keeps to the cap, counted in tasks",
      machines: [machine("a", [task(1), task(1), task(1)]), machine("b", [task(9), task(1)])],
      cap: 2,
      want: ["b>a", "b>a"],
    },
    {
      name: "goes only where the job may run",
      machines: [
        machine("a", [task(1, { canMoveTo: () => false })]),
        machine("b", [task(2, { canMoveTo: (name) => name === "c" })]),
        machine("c", [task(3, { isMovable: false })]),
      ],
      want: ["b>c"],
    },
    {
      name: "not onto a closed machine",
      machines: [machine("a", [task(1)]), machine("b", [task(2, { isMovable: false })], false)],
      want: [],
    },
  ];
  for (const row of cases) {
    assert.deepEqual(
      routes(
        planMerges(row.machines, {
          highLoadShare: row.name.includes("again") ? 0.66 : 0.8,
          maxMoves: row.cap ?? 4,
        }),
      ),
      row.want,
      row.name,
    );
  }
});

test("overloaded machines lose a task to a lightly loaded one (the paper's release)", () => {
  const measured = (loaded: LoadedMachine, use: number, asked: number): MeasuredMachine => ({
    ...loaded,
    measuredLoad: use,
    requestedLoad: asked,
  });
  const light = measured(machine("light", [task(5)]), 0.05, 0.05);
  const lighter = measured(machine("lighter", []), 0, 0);
  const cases: { name: string; hot: MeasuredMachine; others?: MeasuredMachine[]; want: string[] }[] = [
    {
      name: "relieves an overloaded machine that uses more than was asked",
      hot: measured(machine("hot", [task(30), task(20)]), 0.95, 0.5),
      want: ["hot>lighter"],
    },
    { name: "not for what was asked for", hot: measured(machine("hot", [task(95)]), 0.95, 0.95), want: [] },
    { name: "not below the overload share", hot: measured(machine("hot", [task(30)]), 0.85, 0.3), want: [] },
    {
      name: "never a member of a gang or anything that is expensive to restart",
      hot: measured(machine("hot", [task(30, { isMovable: false })]), 0.95, 0.3),
      want: [],
    },
    {
      name: "to no machine that it would fill past the high-load share",
      hot: measured(machine("hot", [task(85)]), 0.95, 0.85),
      want: [],
    },
    {
      name: "with nowhere to go nothing moves",
      hot: measured(machine("hot", [task(30)]), 0.95, 0.3),
      others: [],
      want: [],
    },
  ];
  for (const row of cases) {
    const moves = planOffloads([row.hot, ...(row.others ?? [light, lighter])], {
      highLoadShare: 0.8,
      overloadShare: 0.89,
      maxMoves: 4,
    });
    assert.deepEqual(routes(moves), row.want, row.name);
  }
  const big = task(30);
  const hot = measured(machine("hot", [task(20), big]), 0.95, 0.5);
  assert.equal(
    planOffloads([hot, lighter], { highLoadShare: 0.8, overloadShare: 0.89, maxMoves: 4 })[0]?.ref,
    big.ref,
    "the largest first",
  );
});

function randomMachine(random: SeededRandom, name: string): MeasuredMachine {
  const tasks = Array.from({ length: random.below(5) }, () => {
    const allowed = random.below(3);
    return task(1 + random.below(random.pick([6, 40])), {
      ref: random.below(1_000_000),
      memoryGb: random.below(10),
      isMovable: random.chance(0.85),
      canMoveTo: (to) => allowed === 0 || to.charCodeAt(to.length - 1) % 3 !== 0,
    });
  });
  const requestedLoad = tasks.reduce((sum, { cpus }) => sum + cpus, 0) / 100;
  return {
    ...machine(name, tasks, random.chance(0.9)),
    requestedLoad,
    measuredLoad: requestedLoad + (random.chance(0.3) ? random.below(90) / 100 : 0),
  };
}

test("moves between randomly loaded machines are the ones that were recorded", () => {
  const cases: { seed: number; machines: number; merges: string; offloads: string }[] = [
    { seed: 1, machines: 12, merges: "4 2dc43bc4fb0326d7", offloads: "0 4f53cda18c2baa0c" },
    { seed: 2, machines: 40, merges: "13 831244e970ed95c7", offloads: "5 3030569ef41f5a81" },
    { seed: 3, machines: 200, merges: "60 cc8b11ec6fa004f4", offloads: "19 c06194b1bb974359" },
    { seed: 4, machines: 600, merges: "60 78d16fb4caffcafa", offloads: "37 0e689011d25becbd" },
  ];
  for (const { seed, machines, ...want } of cases) {
    const random = seededRandom(seed);
    const loaded = Array.from({ length: machines }, (_, i) => randomMachine(random, `host-${i}`));
    const merges = planMerges(loaded, { highLoadShare: 0.8, maxMoves: 60 });
    const offloads = planOffloads(loaded, { highLoadShare: 0.8, overloadShare: 0.89, maxMoves: 60 });
    const listing = (moves: Move[]): string => `${moves.length} ${digestOf(moves)}`;
    assert.deepEqual({ merges: listing(merges), offloads: listing(offloads) }, want, `seed ${seed}`);
  }
});

const HEARTBEAT_S = 1;
const NOW_MS = 100_000;

type TestAttempt = Pick<Attempt, "phase" | "runningMs" | "stop">;

/** A machine of 100 cpus that is up, with one attempt of such a job on it. */
function occupiedMachine(spec: Partial<JobSpec>, state: Partial<TestAttempt>, contactAgoMs: number): Machine {
  const type = { name: "m", ...capacity } as MachineType;
  const occupied = new Machine("host-1", "a", 0, 0);
  occupied.type = type;
  occupied.state = "up";
  occupied.lastContactMs = NOW_MS - contactAgoMs;
  const job = { id: "job-1", spec: { kind: "array", tasks: 1, checkpointS: 0, ...task(10), ...spec } };
  const attempt = { job, machine: occupied, phase: "running", runningMs: NOW_MS, stop: null, ...state };
  occupied.attempts.add(attempt as unknown as Attempt);
  return occupied;
}

test("a round moves only what restarts cheaply, from machines whose tasks are known", () => {
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
    ["a task that has just begun", {}, {}, 0, { movable: true, accepts: true }],
    [
      "a task that fetches its image",
      {},
      { phase: "fetching", runningMs: null },
      0,
      { movable: true, accepts: true },
    ],
    ["a task that waits", {}, { phase: "waiting", runningMs: null }, 0, { movable: false, accepts: true }],
    ["a task that has run for long", {}, old, 0, { movable: false, accepts: true }],
    ["one with checkpoints", { checkpointS: 5 }, old, 0, { movable: true, accepts: true }],
    ["one that saves", { checkpointS: 5 }, { ...old, phase: "saving" }, 0, { movable: false, accepts: true }],
    ["a service", { kind: "service" }, {}, 0, { movable: false, accepts: true }],
    ["a member of a gang", { kind: "gang", tasks: 2 }, {}, 0, { movable: false, accepts: true }],
    ["a gang of one", { kind: "gang" }, {}, 0, { movable: true, accepts: true }],
    ["a task that is being stopped", {}, { stop }, 0, { movable: false, accepts: false }],
    ["a task that was never seen there", {}, { phase: null }, 0, { movable: false, accepts: false }],
    ["a heartbeat of 1.4 intervals ago", {}, {}, 1400, { movable: true, accepts: true }],
    ["a heartbeat of 1.5 intervals ago", {}, {}, 1500, { movable: false, accepts: false }],
  ];
  for (const [name, spec, state, contactAgoMs, want] of cases) {
    const machines = [occupiedMachine(spec, state, contactAgoMs)];
    const context = {
      jobs: new Map(),
      machines: new Map(machines.map((machine) => [machine.name, machine])),
      operator: defaultOperatorSettings,
      heartbeatS: HEARTBEAT_S,
    } as unknown as ConsolidationSnapshotContext;
    const snapshot = takeSnapshot(context, NOW_MS);
    const [seen] = snapshot.machines;
    assert.deepEqual({ movable: seen?.tasks[0]?.isMovable, accepts: seen?.acceptsTasks }, want, name);
    assert.deepEqual(snapshot.attempts, [...machines[0]!.attempts], name);
  }
});
