/**
 * Fairness on a simulated cluster: large jobs start under a steady stream of smaller work, and jobs share their team's
 * quota. The rules of the simulated region are checked throughout.
 */
import assert from "node:assert/strict";
import test from "node:test";
import type { SimJob } from "./fakes/job.js";
import { World } from "./fakes/world.js";

/** Team limits that are high enough never to restrict a job. */
const AMPLE_LIMITS = { one: { cpus: 5000, gpus: 500 }, two: { cpus: 5000, gpus: 500 } };
/** Seconds within which even the largest jobs have to start. */
const START_WITHIN_S = 240;

type Submission = Parameters<World["users"]["submit"]>[0];

/** Returns a function that submits one or more jobs with the given fields, each under a new id. */
function submitter(world: World, fields: Omit<Submission, "ref">, runS: number): (jobs?: number) => void {
  let submitted = 0;
  return (jobs = 1) => {
    for (let i = 0; i < jobs; i++)
      world.users.submit({ ...fields, ref: `job-1${String(submitted++).padStart(5, "0")}` }, runS);
  };
}

function startedJobs(world: World): SimJob[] {
  return [...world.users.jobs.values()].filter((job) => job.firstStartAtMs !== null);
}

/** Returns the seconds from a job's submission to the start of its first task; Infinity if none has started. */
function waitedS(job: SimJob): number {
  return Math.round(((job.firstStartAtMs ?? Infinity) - job.submittedAtMs) / 1000);
}

/**
 * Guards against starvation: a steady stream of smaller jobs takes every machine that becomes free unless capacity is
 * reserved for jobs that have waited long. The largest job must start within four minutes, and small ones must go on
 * starting meanwhile.
 */
test("a gang of 32 whole machines in one zone starts under a steady stream of small gangs", async () => {
  const world = new World(21, { controllerCount: 5, capacity: 44, limits: AMPLE_LIMITS });
  await world.run(3);
  const gang = { form: "ensemble", gpus: 2, cores: 8, memoryGb: 30, together: true, cairnS: 2, stashS: 1 };
  const submitSmall = submitter(world, { ...gang, crew: "two", spores: 1 }, 12);
  submitSmall(44);
  await world.run(6);
  for (let second = 0; second < 14; second++) {
    submitSmall(3);
    await world.run(1);
  }
  const large = world.users.submit({ ...gang, ref: "job-000032", crew: "one", spores: 32 }, 10);
  for (let second = 0; second < START_WITHIN_S && large.firstStartAtMs === null; second++) {
    submitSmall(3);
    await world.run(1);
  }
  assert.ok(large.firstStartAtMs !== null, "started within four minutes");
  assert.deepEqual(world.violations, []);
  await world.run(45);
  const started = startedJobs(world).length;
  const submitted = world.users.jobs.size;
  assert.ok(started * 2 > submitted, `${started} of ${submitted} started`);
  assert.equal(large.finalPhase, "done");
});

/**
 * Guards against starvation within a team: when arrays ran in order of arrival, the first large one took all free capacity
 * until it was done.
 */
test("a team's arrays without targets share the capacity, and what one leaves goes to the others", async () => {
  const world = new World(26, { controllerCount: 3, capacity: 8 });
  await world.run(3);
  const array = { crew: "two", rank: "best_effort", cores: 1, memoryGb: 1 };
  const large = [0, 1, 2].map((i) => world.users.submit({ ref: `job-00000${i}`, ...array, spores: 150 }, 12));
  const small = world.users.submit({ ref: "job-000009", ...array, spores: 2 }, 12);
  await world.run(60);
  const running = large.map((job) => world.fleet.liveTasks(job.spec.ref).length);
  assert.ok(Math.min(...running) >= 5, `running: ${running.join(", ")} of 24`);
  assert.equal(small.finalPhase, "done");
  for (const job of large.slice(1)) world.users.cancel(job);
  await world.run(25);
  const runningAlone = world.fleet.liveTasks("job-000000").length;
  assert.ok(runningAlone >= 20, `${runningAlone} of 24 run after the others are cancelled`);
  assert.deepEqual(world.violations, []);
});

/**
 * Guards against starvation at a team's limit: small tasks took quota as soon as a little of it became free, so a task of
 * five times their size waited until all of them had ended (docs/incidents/inc-809f.md).
 */
for (const [rank, withinS] of [
  ["high", 16],
  ["standard", 40],
] as const) {
  test(`a large gang (${rank}) gets the quota that small tasks free when its team is at its limit`, async () => {
    const world = new World(25, { controllerCount: 3, capacity: 60 });
    await world.run(3);
    const submitSmall = submitter(world, { spores: 12, cores: 2, memoryGb: 2 }, 5);
    submitSmall(6);
    await world.run(15);
    const gang = { form: "ensemble", spores: 1, cores: 10, memoryGb: 8, rank, together: true };
    const large = [0, 1, 2].map((i) => world.users.submit({ ref: `job-00000${i}`, ...gang }, 8));
    for (let second = 0; second < 60; second++) {
      if (second % 2) submitSmall();
      await world.run(1);
    }
    // The time limit covers a machine's boot. Two of the gangs fit under the team's limit, and the third follows.
    const waits = large.map(waitedS);
    assert.ok(Math.max(...waits) < withinS, `started after ${waits.join(", ")} s`);
    const started = startedJobs(world).length;
    assert.ok(started > 8, `${started} jobs started: small jobs must go on starting`);
    assert.deepEqual(world.violations, []);
  });
}

test("an array of 300 tasks starts under a steady stream of smaller arrays with nearer deadlines", async () => {
  const world = new World(22, { controllerCount: 5, capacity: 10, limits: AMPLE_LIMITS });
  await world.run(3);
  const task = { cores: 2, memoryGb: 4 };
  const submitSmall = submitter(world, { ...task, crew: "two", spores: 8, dueS: 30 }, 6);
  submitSmall(15);
  await world.run(15);
  const large = world.users.submit({ ...task, ref: "job-000300", crew: "one", spores: 300, dueS: 60 }, 6);
  for (let second = 0; second < START_WITHIN_S && large.firstStartAtMs === null; second++) {
    submitSmall(second % 2 ? 2 : 1);
    await world.run(1);
  }
  assert.ok(large.firstStartAtMs !== null, "started within four minutes");
  assert.deepEqual(world.violations, []);
});
