import assert from "node:assert/strict";
import test from "node:test";
import { isLateCopy, isUnchanged } from "../src/coordination/heartbeats/heartbeatComparison.js";
import type { Heartbeat } from "../src/protocol/model.js";
import { World } from "./fakes/world.js";

test("reports: what is a late copy, and what says nothing new", () => {
  const report: Heartbeat = {
    machine: "host-1",
    address: "10.1.0.1:9000",
    type: "g8",
    zone: "a",
    spot: false,
    epoch: 2,
    tick: 9,
    fencingToken: 5,
    interruptionNoticeS: null,
    tasks: [{ jobId: "job-1", task: 0, attempt: 1, phase: "running", cause: null, saved: false }],
  };
  const copies: [string, { epoch: number; tick: number }, boolean][] = [
    ["the next one", { epoch: 2, tick: 8 }, false],
    ["the same once more", { epoch: 2, tick: 9 }, true],
    ["one from before", { epoch: 2, tick: 12 }, true],
    ["one from an earlier epoch, with a higher tick", { epoch: 3, tick: 1 }, true],
    ["the first of a new epoch", { epoch: 1, tick: 99 }, false],
  ];
  for (const [name, known, want] of copies) assert.equal(isLateCopy(known, report), want, name);
  const same: [string, Partial<Heartbeat>, boolean][] = [
    ["only the tick", { tick: 10 }, true],
    ["a higher token", { fencingToken: 6 }, false],
    ["a new epoch", { epoch: 3 }, false],
    ["a notice", { interruptionNoticeS: 8 }, false],
    ["a task more", { tasks: [...report.tasks, { ...report.tasks[0]!, task: 1 }] }, false],
    ["a task that has ended", { tasks: [{ ...report.tasks[0]!, phase: "exited", cause: "done" }] }, false],
    ["another attempt", { tasks: [{ ...report.tasks[0]!, attempt: 2 }] }, false],
  ];
  for (const [name, change, want] of same)
    assert.equal(isUnchanged(report, { ...report, ...change }), want, name);
});

/** Lost on the way to the leader, a worker's last word came again as one that the leader took for old, for ever. */
test("what is lost between two controllers is told again, and every job comes to its end", async () => {
  const world = new World(35, { controllerCount: 5, capacity: 6 });
  await world.run(3);
  world.users.submit(
    { ref: "job-000000", form: "standing", rank: "prod", spores: 4, cores: 1, windfall: false },
    null,
  );
  await world.run(15);
  const late = [];
  for (let i = 0; i < 10; i++) {
    const ref = `job-0001${String(i).padStart(2, "0")}`;
    const job = world.users.submit({ ref, crew: i % 2 ? "one" : "two", spores: 3, cores: 1, memoryGb: 1 }, 2);
    // Its end falls into a moment without links, shorter than a grant; nothing new comes to its machines after that.
    while (job.firstStartAtMs === null) await world.run(0.1);
    await world.run(1.7);
    world.controllers.peerLinksDownUntilMs = world.clock.nowMs() + 1700;
    await world.run(14);
    if (job.finalPhase !== "done") late.push(ref);
  }
  assert.deepEqual(late, []);
  assert.deepEqual(world.violations, []);
});
