import assert from "node:assert/strict";
import test from "node:test";
import { Job, type Attempt, Machine } from "../src/bookkeeping/workload.js";
import { machineLooksFaulty, jobLooksFaulty } from "../src/coordination/scheduling/failureDetection.js";
import { isOverdueToBoot } from "../src/coordination/scheduling/machineSnapshots.js";
import { hasJustBegun } from "../src/coordination/scheduling/stopCost.js";
import type { JobSpec, MachineType } from "../src/protocol/model.js";
import { World } from "./fakes/world.js";

const machine = (name: string): Machine => new Machine(name, null, "a", false, 1, 0);

function job(id: string, failedOn: string[], doneCount = 0, runsOn: string[] = []): Job {
  const j = new Job({ id, tasks: 9 } as JobSpec, new Date(0), 1, null, 0);
  failedOn.forEach((m) => j.failedOn.add(m));
  j.doneCount = doneCount;
  runsOn.forEach((m) => j.attempts.add({ machine: machine(m), phase: "running" } as Attempt));
  return j;
}

test("a machine is faulty when jobs fail on it that run elsewhere; one that fails everywhere blames none", () => {
  const m = machine("m1");
  const everywhere = ["m1", "m2", "m3", "m4"];
  const cases: [string, [Job, number][], boolean][] = [
    ["a job that ended well elsewhere", [[job("a", ["m1"], 3), 2]], true],
    ["one failure may be chance", [[job("a", ["m1"], 3), 1]], false],
    [
      "two jobs nobody knows more of",
      [
        [job("a", ["m1"]), 2],
        [job("b", ["m1"]), 1],
      ],
      true,
    ],
    ["one job nobody knows more of", [[job("a", ["m1"]), 9]], false],
    [
      "two that fail wherever they start",
      [
        [job("a", everywhere), 5],
        [job("b", everywhere), 5],
      ],
      false,
    ],
    [
      "such a one beside one that runs elsewhere",
      [
        [job("a", everywhere), 5],
        [job("b", ["m1"], 0, ["m9"]), 2],
      ],
      true,
    ],
  ];
  for (const [name, failures, want] of cases) {
    m.consecutiveFailures = new Map(failures.map(([j, n]) => [j.id, n]));
    assert.equal(machineLooksFaulty(m, new Map(failures.map(([j]) => [j.id, j]))), want, name);
  }
  assert.equal(jobLooksFaulty(job("a", everywhere)), true);
  assert.equal(jobLooksFaulty(job("a", everywhere, 1)), false, "it has ended well somewhere");
  assert.equal(jobLooksFaulty(job("a", everywhere, 0, ["m7"])), false, "it runs somewhere");
  assert.equal(jobLooksFaulty(job("a", everywhere, 0, ["m2"])), true, "it runs where it failed before");
});

test("a boot long past its type's time is counted on no more; one that was up before is", () => {
  const m = machine("m1");
  m.type = { bootS: 40 } as MachineType;
  assert.deepEqual([isOverdueToBoot(m, 60_000), isOverdueToBoot(m, 80_000)], [false, true]);
  m.isListedAsRunning = true;
  assert.equal(isOverdueToBoot(m, 80_000), false);
});

/** Their users cancel them in the end; until then they are known, and cost the others nothing. */
test("jobs submitted with a mistake fail everywhere: little room, no machine blamed, the team's other work goes on", async () => {
  const world = new World(41, { capacity: 10 });
  world.fleet.failsEverywhere = (ref) => ref.startsWith("job-6");
  await world.run(3);
  const bad = [0, 1, 2].map((i) =>
    world.users.submit(
      { ref: `job-60000${i}`, crew: "one", spores: 40, cores: 1, memoryGb: 1, rank: "high" },
      5,
    ),
  );
  await world.run(20);
  const good = [0, 1, 2, 3].map((i) =>
    world.users.submit(
      { ref: `job-50000${i}`, crew: i % 2 ? "one" : "two", spores: 8, cores: 1, memoryGb: 1 },
      4,
    ),
  );
  const before = world.startedTasks;
  await world.run(60);
  for (const j of good) assert.equal(j.finalPhase, "done", `${j.spec.ref} in time`);
  assert.ok(world.startedTasks - before < 32 + 3 * 2 * 20, `${world.startedTasks - before} starts`);
  const rented = world.cloud.machines.size;
  assert.ok(rented <= 6, `${rented} machines for it`);
  for (const j of bad) world.users.cancel(j);
  await world.run(15);
  for (const j of bad) assert.equal(j.finalPhase, "withdrawn");
  assert.deepEqual(world.violations, []);
});

test("what began late with a task or two isn't stopped for a while; what has many, ended one, or ran long may be", () => {
  const begun = (tasks: number, ranS: number, doneCount = 0, kind = "array"): Job => {
    const j = new Job({ id: "a", tasks: 99, kind } as JobSpec, new Date(0), 1, null, 0);
    j.doneCount = doneCount;
    for (let i = 0; i < tasks; i++) j.attempts.add({ runningMs: 200_000 - ranS * 1000 } as Attempt);
    return j;
  };
  const cases: [string, Job, number, boolean][] = [
    ["two tasks of ten seconds", begun(2, 10), 200_000, true],
    ["early on, it is in its turn", begun(2, 10), 140_000, false],
    ["many tasks", begun(3, 10), 200_000, false],
    ["it has counted as begun", begun(2, 40), 200_000, false],
    ["one has ended", begun(2, 10, 1), 200_000, false],
    ["a service", begun(1, 10, 0, "service"), 200_000, false],
  ];
  for (const [name, j, nowMs, want] of cases) assert.equal(hasJustBegun(j, nowMs), want, name);
});
