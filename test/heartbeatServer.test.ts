import assert from "node:assert/strict";
import test from "node:test";
import { isLateCopy, isUnchanged } from "../src/coordination/heartbeats/heartbeatComparison.js";
import type { Heartbeat } from "../src/protocol/model.js";
import { World } from "./fakes/world.js";

test("a heartbeat is a late copy, or unchanged, by what is known of its worker", () => {
  const heartbeat: Heartbeat = {
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
  const copies: [name: string, known: { epoch: number; tick: number }, isLate: boolean][] = [
    ["the next one", { epoch: 2, tick: 8 }, false],
    ["the same once more", { epoch: 2, tick: 9 }, true],
    ["one from before", { epoch: 2, tick: 12 }, true],
    ["one from an earlier epoch, with a higher tick", { epoch: 3, tick: 1 }, true],
    ["the first of a new epoch", { epoch: 1, tick: 99 }, false],
  ];
  for (const [name, known, isLate] of copies) assert.equal(isLateCopy(known, heartbeat), isLate, name);
  const changes: [name: string, change: Partial<Heartbeat>, isSame: boolean][] = [
    ["only the tick", { tick: 10 }, true],
    ["a higher token", { fencingToken: 6 }, false],
    ["a new epoch", { epoch: 3 }, false],
    ["a notice", { interruptionNoticeS: 8 }, false],
    ["a task more", { tasks: [...heartbeat.tasks, { ...heartbeat.tasks[0]!, task: 1 }] }, false],
    ["a task that has ended", { tasks: [{ ...heartbeat.tasks[0]!, phase: "exited", cause: "done" }] }, false],
    ["another attempt", { tasks: [{ ...heartbeat.tasks[0]!, attempt: 2 }] }, false],
  ];
  for (const [name, change, isSame] of changes)
    assert.equal(isUnchanged(heartbeat, { ...heartbeat, ...change }), isSame, name);
});

/** Lost on the way to the leader, a worker's last change was sent again as one that the leader took for old, for ever. */
test("what is lost between two controllers is sent again, and every job is completed", async () => {
  const world = new World(35, { controllerCount: 5, capacity: 6 });
  await world.run(3);
  world.users.submit(
    { ref: "job-000000", form: "standing", rank: "prod", spores: 4, cores: 1, windfall: false },
    null,
  );
  await world.run(15);
  const late = [];
  for (let number = 0; number < 10; number++) {
    const ref = `job-0001${String(number).padStart(2, "0")}`;
    const job = world.users.submit(
      { ref, crew: number % 2 ? "one" : "two", spores: 3, cores: 1, memoryGb: 1 },
      2,
    );
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
