/** Machines that can be reached in one direction only, or not at all any more, get no work and keep no lease. */
import assert from "node:assert/strict";
import test from "node:test";
import type { SimJob } from "./fakes/job.js";
import type { SimWorker } from "./fakes/worker.js";
import { World } from "./fakes/world.js";

/** The id of the job submitted at that index. */
function lateJobId(index: number): string {
  return `job-0001${String(index).padStart(2, "0")}`;
}

function busyWorker(world: World): SimWorker {
  return [...world.fleet.workers.values()].find((worker) => worker.tasks.size > 0)!;
}

/** A heartbeat is no proof that commands arrive: placed there, work would wait until a lease proves it gone. */
test("a machine that sends heartbeats and gets no commands gets no new work, and is trusted again afterwards", async () => {
  const world = new World(23, { controllerCount: 5, capacity: 4 });
  await world.run(3);
  const service = { form: "standing", rank: "prod", cores: 2, windfall: false };
  world.users.submit({ ref: "job-000001", ...service, spores: 6, memoryGb: 8 }, null);
  await world.run(20);
  const { address } = busyWorker(world).machine;
  world.net.partition(
    () => true,
    (host) => host === address,
    30_000,
    true,
  );
  await world.run(0.5);
  // Commands under way when the partition begins are lost; whatever comes after that goes elsewhere.
  const task = { crew: "two", cores: 1, memoryGb: 1 };
  const first = world.users.submit({ ...task, ref: "job-000002", spores: 12 }, 2);
  await world.run(9);
  const late: SimJob[] = [];
  for (let i = 0; i < 24; i++) {
    late.push(world.users.submit({ ...task, ref: lateJobId(i), spores: 1 }, 2));
    await world.run(0.4);
  }
  await world.run(5);
  for (const job of late) {
    assert.ok(
      job.firstStartAtMs !== null && job.firstStartAtMs - job.submittedAtMs < 7500,
      `${job.spec.ref} started after ${job.firstStartAtMs! - job.submittedAtMs} ms`,
    );
  }
  await world.run(40);
  assert.equal(first.finalPhase, "done");
  assert.deepEqual(world.violations, []);
  assert.equal(world.fleet.liveTasks("job-000001").length, 6);
});

/** Starts would succeed there, and end with the lease that no heartbeat renews. */
test("a machine whose heartbeats reach no controller gets no new work, though commands reach it", async () => {
  const world = new World(24, { controllerCount: 5, capacity: 6 });
  await world.run(3);
  const accel = { crew: "two", spores: 1, cores: 0.25, breeds: ["accel"], memoryGb: 1, windfall: false };
  world.users.submit({ ref: "job-000001", ...accel }, 3);
  await world.run(12);
  const [id] = [...world.fleet.workers].find(([, worker]) => worker.machine.type === "accel")!;
  const started: string[] = [];
  world.onTaskStart = (worker, task) => {
    if (worker.machine.id === id) started.push(task.name);
  };
  world.controllers.dropHeartbeatResponses(id, 60_000);
  // Work for this type of machine alone keeps coming, so that commands keep going there, and their responses back.
  const late: SimJob[] = [];
  for (let i = 0; i < 40; i++) {
    late.push(world.users.submit({ ref: lateJobId(i), ...accel }, 1));
    await world.run(0.5);
    // Until now its last heartbeat may have been recent enough.
    if (i === 12) started.length = 0;
  }
  assert.deepEqual(started, [], "nothing started there");
  await world.run(20);
  for (const job of late) assert.ok(job.doneTasks.size === 1, `${job.spec.ref} done`);
  assert.deepEqual(world.violations, []);
});

/** Copies of its last heartbeat, for ever and at every controller, must not keep a machine that is gone alive. */
test("late copies of a lost machine's heartbeat neither renew its lease nor bring it back", async () => {
  const world = new World(34, { controllerCount: 5, capacity: 6 });
  const lastHeartbeats = new Map<string, unknown>();
  world.controllers.onHeartbeat = (body) => lastHeartbeats.set((body as { tuft: string }).tuft, body);
  await world.run(3);
  const service = { form: "standing", rank: "prod", cores: 2, memoryGb: 4, windfall: false };
  world.users.submit({ ref: "job-000001", ...service, spores: 4 }, null);
  await world.run(20);
  const { id } = busyWorker(world).machine;
  const copy = lastHeartbeats.get(id)!;
  world.cloud.loseMachine(id);
  for (let i = 0; i < 40; i++) {
    for (const controller of world.controllers.names)
      void world.users.request("POST", "/checkin", copy, controller).catch(() => undefined);
    if (i === 25) world.controllers.crash(world.leader!, 90);
    await world.run(0.5);
  }
  assert.equal(world.fleet.liveTasks("job-000001").length, 4, "its tasks run elsewhere, a lease later");
  assert.ok([...world.fleet.workers.keys()].every((name) => name !== id));
  assert.deepEqual(world.violations, []);
});
