import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Job, type Attempt, Machine } from "../src/bookkeeping/workload.js";
import { jobLooksFaulty, machineLooksFaulty } from "../src/coordination/scheduling/failureDetection.js";
import type { JobSpec } from "../src/protocol/model.js";
import { World } from "./fakes/world.js";

/** Enough machines for a job that failed on all of them to count as faulty. */
const MANY_MACHINES = ["m1", "m2", "m3", "m4"];

interface JobHistory {
  id?: string;
  /** Names of the machines on which the job's tasks have failed. */
  failedOn: string[];
  doneCount?: number;
  /** Names of the machines on which the job's tasks run. */
  runsOn?: string[];
}

function buildMachine(name: string): Machine {
  return new Machine(name, "a", 1, 0);
}

function buildJob({ id = "a", failedOn, doneCount = 0, runsOn = [] }: JobHistory): Job {
  const job = new Job({ id, tasks: 9 } as JobSpec, new Date(0), 1, null, 0);
  for (const name of failedOn) job.failedMachineNames.add(name);
  job.doneCount = doneCount;
  for (const name of runsOn) job.attempts.add({ machine: buildMachine(name), phase: "running" } as Attempt);
  return job;
}

describe("a machine is faulty if jobs fail on it that are not known to fail everywhere", () => {
  const cases: { name: string; failures: [job: JobHistory, count: number][]; isFaulty: boolean }[] = [
    {
      name: "two failures of a job that succeeded elsewhere mark the machine as faulty",
      failures: [[{ failedOn: ["m1"], doneCount: 3 }, 2]],
      isFaulty: true,
    },
    {
      name: "a single failure does not mark the machine as faulty",
      failures: [[{ failedOn: ["m1"], doneCount: 3 }, 1]],
      isFaulty: false,
    },
    {
      name: "failures of two jobs with unknown results elsewhere mark the machine as faulty",
      failures: [
        [{ id: "a", failedOn: ["m1"] }, 2],
        [{ id: "b", failedOn: ["m1"] }, 1],
      ],
      isFaulty: true,
    },
    {
      name: "failures of one job with unknown results elsewhere do not mark the machine as faulty",
      failures: [[{ failedOn: ["m1"] }, 9]],
      isFaulty: false,
    },
    {
      name: "failures of jobs that fail everywhere are ignored",
      failures: [
        [{ id: "a", failedOn: MANY_MACHINES }, 5],
        [{ id: "b", failedOn: MANY_MACHINES }, 5],
      ],
      isFaulty: false,
    },
    {
      name: "failures of a job that runs elsewhere count beside those of a job that fails everywhere",
      failures: [
        [{ id: "a", failedOn: MANY_MACHINES }, 5],
        [{ id: "b", failedOn: ["m1"], runsOn: ["m9"] }, 2],
      ],
      isFaulty: true,
    },
  ];
  for (const { name, failures, isFaulty } of cases)
    test(name, () => {
      const jobs = new Map<string, Job>();
      const machine = buildMachine("m1");
      machine.consecutiveFailures = new Map();
      for (const [history, count] of failures) {
        const job = buildJob(history);
        jobs.set(job.id, job);
        machine.consecutiveFailures.set(job.id, count);
      }
      assert.equal(machineLooksFaulty(machine, jobs), isFaulty);
    });
});

describe("a job is faulty if it fails on every machine", () => {
  const cases: { name: string; history: JobHistory; isFaulty: boolean }[] = [
    {
      name: "a job that failed on many machines is faulty",
      history: { failedOn: MANY_MACHINES },
      isFaulty: true,
    },
    {
      name: "a job with a finished task is not faulty",
      history: { failedOn: MANY_MACHINES, doneCount: 1 },
      isFaulty: false,
    },
    {
      name: "a job that runs on a machine where it has not failed is not faulty",
      history: { failedOn: MANY_MACHINES, runsOn: ["m7"] },
      isFaulty: false,
    },
    {
      name: "a job that runs only on a machine where it failed is faulty",
      history: { failedOn: MANY_MACHINES, runsOn: ["m2"] },
      isFaulty: true,
    },
  ];
  for (const { name, history, isFaulty } of cases)
    test(name, () => assert.equal(jobLooksFaulty(buildJob(history)), isFaulty));
});

// Guards against faulty jobs that use up machines and delay other jobs until their users cancel them.
test("jobs that fail everywhere get few tasks and machines, cause no cordons and do not delay other jobs", async () => {
  const world = new World(41, { capacity: 10 });
  world.fleet.failsEverywhere = (ref) => ref.startsWith("job-6");
  await world.run(3);
  const faultyJobs = [0, 1, 2].map((i) =>
    world.users.submit(
      { ref: `job-60000${i}`, crew: "one", spores: 40, cores: 1, memoryGb: 1, rank: "high" },
      5,
    ),
  );
  await world.run(20);
  const healthyJobs = [0, 1, 2, 3].map((i) =>
    world.users.submit(
      { ref: `job-50000${i}`, crew: i % 2 ? "one" : "two", spores: 8, cores: 1, memoryGb: 1 },
      4,
    ),
  );
  const startedBefore = world.startedTasks;
  await world.run(60);
  for (const job of healthyJobs) assert.equal(job.finalPhase, "done", `${job.spec.ref} in time`);
  assert.ok(
    world.startedTasks - startedBefore < 32 + 3 * 2 * 20,
    `${world.startedTasks - startedBefore} starts`,
  );
  const machineCount = world.cloud.machines.size;
  assert.ok(machineCount <= 6, `${machineCount} machines, expected at most 6`);
  for (const job of faultyJobs) world.users.cancel(job);
  await world.run(15);
  for (const job of faultyJobs) assert.equal(job.finalPhase, "withdrawn");
  assert.deepEqual(world.violations, []);
});
