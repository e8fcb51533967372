import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

/** A job of many chunks survives a failover, ends once, and leaves no key in the state store but its final record's. */
test("an array of several chunks is done though the leader crashes in between", async () => {
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

test("an array of 100,000 tasks begins, and leaves nothing but its final record once it is cancelled", async () => {
  const world = new World(6);
  await world.run(3);
  const job = world.users.submit({ ref: "job-000002", spores: 100_000, cores: 0.5, memoryGb: 0.5 }, 5);
  await world.run(25);
  assert.ok(world.fleet.liveTasks("job-000002").length >= 20, "as many run as the team's limit allows");
  for (const [key, entry] of world.stateStore.entries) {
    assert.ok(JSON.stringify(entry.value).length < 8 * 1024, `${key} fits`);
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
