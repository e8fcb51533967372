import assert from "node:assert/strict";
import test from "node:test";
import { isStaleOrDuplicate, isUnchanged } from "../src/coordination/heartbeats/heartbeatComparison.js";
import type { Heartbeat } from "../src/protocol/model.js";
import { World } from "./fakes/world.js";

test("a heartbeat is stale, a duplicate or unchanged in comparison with the known one", () => {
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
    tasks: [{ jobId: "job-1", task: 0, attempt: 1, phase: "running", cause: null, checkpointSaved: false }],
  };
  const arrivals: [name: string, known: { epoch: number; tick: number }, isStale: boolean][] = [
    ["the next one", { epoch: 2, tick: 8 }, false],
    ["a duplicate", { epoch: 2, tick: 9 }, true],
    ["an older one", { epoch: 2, tick: 12 }, true],
    ["one from an earlier epoch, with a higher tick", { epoch: 3, tick: 1 }, true],
    ["the first of a new epoch", { epoch: 1, tick: 99 }, false],
  ];
  for (const [name, known, isStale] of arrivals)
    assert.equal(isStaleOrDuplicate(known, heartbeat), isStale, name);
  const changes: [name: string, change: Partial<Heartbeat>, isSame: boolean][] = [
    ["only a later tick", { tick: 10 }, true],
    ["a higher token", { fencingToken: 6 }, false],
    ["a new epoch", { epoch: 3 }, false],
    ["an interruption notice", { interruptionNoticeS: 8 }, false],
    ["an additional task", { tasks: [...heartbeat.tasks, { ...heartbeat.tasks[0]!, task: 1 }] }, false],
    ["a task that has ended", { tasks: [{ ...heartbeat.tasks[0]!, phase: "exited", cause: "done" }] }, false],
    ["another attempt", { tasks: [{ ...heartbeat.tasks[0]!, attempt: 2 }] }, false],
  ];
  for (const [name, change, isSame] of changes)
    assert.equal(isUnchanged(heartbeat, { ...heartbeat, ...change }), isSame, name);
});

/**
 * Guards against jobs that never complete: a worker's last change was lost on the way to the leader, and the leader
 * rejected every retransmission of it as stale.
 */
test("heartbeats lost between two controllers are sent again, and every job completes", async () => {
  const world = new World(35, { controllerCount: 5, capacity: 6 });
  await world.run(3);
  world.users.submit(
    { ref: "job-000000", form: "standing", rank: "prod", spores: 4, cores: 1, windfall: false },
    null,
  );
  await world.run(15);
  const unfinishedJobs = [];
  for (let number = 0; number < 10; number++) {
    const ref = `job-0001${String(number).padStart(2, "0")}`;
    const job = world.users.submit(
      { ref, crew: number % 2 ? "one" : "two", spores: 3, cores: 1, memoryGb: 1 },
      2,
    );
    // The job ends during a link outage shorter than a grant; its machines report no further change after that.
    while (job.firstStartAtMs === null) await world.run(0.1);
    await world.run(1.7);
    world.controllers.peerLinksDownUntilMs = world.clock.nowMs() + 1700;
    await world.run(14);
    if (job.finalPhase !== "done") unfinishedJobs.push(ref);
  }
  assert.deepEqual(unfinishedJobs, []);
  assert.deepEqual(world.violations, []);
});
