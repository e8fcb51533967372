import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

/** A job of many chunks runs through a change of leader, is told done once, and leaves no key but its last one. */
test("an array of several chunks, with the leader lost in between", async () => {
  const world = new World(5);
  await world.run(3);
  const job = world.submit({ ref: "job-000001", spores: 600, cores: 0.5, memoryGb: 0.5 }, 1);
  world.clock.after(14_000, () => world.crash(world.leader ?? "n0", 2000));
  await world.run(75);
  assert.deepEqual(world.broken, []);
  assert.equal(job.told, "done");
  assert.equal(job.done.size, 600);
  await world.run(10);
  const left = [...world.state.keys.keys()].filter((k) => k.includes("job-000001"));
  assert.deepEqual(left, ["f/job-000001"]);
});

test("an array of 100,000 tasks begins, and is gone once it is cancelled", async () => {
  const world = new World(6);
  await world.run(3);
  const job = world.submit({ ref: "job-000002", spores: 100_000, cores: 0.5, memoryGb: 0.5 }, 5);
  await world.run(25);
  assert.ok(world.live("job-000002").length >= 20, "as many run as the team's limit allows");
  for (const [key, entry] of world.state.keys) {
    assert.ok(JSON.stringify(entry.data).length < 8 * 1024, `${key} fits`);
  }
  world.cancel(job);
  await world.run(12);
  assert.equal(job.told, "withdrawn");
  assert.equal(world.live("job-000002").length, 0);
  assert.deepEqual(
    [...world.state.keys.keys()].filter((k) => k.includes("job-000002")),
    ["f/job-000002"],
  );
  assert.deepEqual(world.broken, []);
});
