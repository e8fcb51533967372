import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./standins/world.js";

/** A job of many chunks runs through a change of leader, is told done once, and leaves no key but its last one. */
test("an array of several chunks, with the leader lost in between", async () => {
  const w = new World(5);
  await w.run(3);
  const job = w.submit({ ref: "job-000001", spores: 600, cores: 0.5, memoryGb: 0.5 }, 1);
  w.clock.after(14_000, () => w.crash(w.leader ?? "n0", 2000));
  await w.run(75);
  assert.deepEqual(w.broken, []);
  assert.equal(job.told, "done");
  assert.equal(job.done.size, 600);
  await w.run(10);
  const left = [...w.state.keys.keys()].filter((k) => k.includes("job-000001"));
  assert.deepEqual(left, ["f/job-000001"]);
});

test("an array of 100,000 tasks begins, and is gone once it is cancelled", async () => {
  const w = new World(6);
  await w.run(3);
  const job = w.submit({ ref: "job-000002", spores: 100_000, cores: 0.5, memoryGb: 0.5 }, 5);
  await w.run(25);
  assert.ok(w.live("job-000002").length >= 20, "as many run as the team's limit allows");
  for (const [key, entry] of w.state.keys) {
    assert.ok(JSON.stringify(entry.data).length < 8 * 1024, `${key} fits`);
  }
  w.cancel(job);
  await w.run(12);
  assert.equal(job.told, "withdrawn");
  assert.equal(w.live("job-000002").length, 0);
  assert.deepEqual(
    [...w.state.keys.keys()].filter((k) => k.includes("job-000002")),
    ["f/job-000002"],
  );
  assert.deepEqual(w.broken, []);
});
