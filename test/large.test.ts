import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

/** A job with many chunks survives a failover, completes, and leaves only its final record in the state store. */
test("an array of several chunks completes although the leader crashes in between", async () => {
  const world = new World(5);
  await world.run(3);
  const job = world.users.submit({ ref: "job-000001", spores: 600, cores: 0.5, memoryGb: 0.5 }, 1);
  world.clock.after(14_000, () => world.controllers.crash(world.controllers.leaderOrFirst, 2000));
  await world.run(75);
  assert.deepEqual(world.violations, []);
  assert.equal(job.finalPhase, "done");
  assert.equal(job.doneTasks.size, 600);
  await world.run(10);
  const remainingKeys = [...world.stateStore.entries.keys()].filter((key) => key.includes("job-000001"));
  assert.deepEqual(remainingKeys, ["f/job-000001"]);
});

test("an array of 100,000 tasks starts, and leaves only its final record after it is cancelled", async () => {
  const world = new World(6);
  await world.run(3);
  const job = world.users.submit({ ref: "job-000002", spores: 100_000, cores: 0.5, memoryGb: 0.5 }, 5);
  await world.run(25);
  assert.ok(
    world.fleet.liveTasks("job-000002").length >= 20,
    "at least 20 tasks run within the team's limit",
  );
  for (const [key, entry] of world.stateStore.entries) {
    assert.ok(
      JSON.stringify(entry.value).length < 8 * 1024,
      `the value of ${key} is below the state store's size limit`,
    );
  }
  world.users.cancel(job);
  await world.run(12);
  assert.equal(job.finalPhase, "withdrawn");
  assert.equal(world.fleet.liveTasks("job-000002").length, 0);
  assert.deepEqual(
    [...world.stateStore.entries.keys()].filter((key) => key.includes("job-000002")),
    ["f/job-000002"],
  );
  assert.deepEqual(world.violations, []);
});
