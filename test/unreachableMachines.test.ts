/** Machines that are reachable in one direction only, or not at all, get no new tasks and keep no lease. */
import assert from "node:assert/strict";
import test from "node:test";
import type { SimJob } from "./fakes/job.js";
import type { SimWorker } from "./fakes/worker.js";
import { World } from "./fakes/world.js";

/** Returns the id of the late job with the given index. */
function lateJobId(index: number): string {
  return `job-0001${String(index).padStart(2, "0")}`;
}

function busyWorker(world: World): SimWorker {
  return [...world.fleet.workers.values()].find((worker) => worker.tasks.size > 0)!;
}

/**
 * Heartbeats do not prove that commands arrive. Tasks placed on a machine that gets no commands would wait until the
 * expiry of a lease proves that they are not running.
 */
test("a machine that sends heartbeats but gets no commands gets no new tasks until commands reach it again", async () => {
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
  // Commands in flight when the partition begins are lost; later tasks are placed on other machines.
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

/** Tasks would start on such a machine, but end when its lease expires, because no heartbeat renews it. */
test("a machine whose heartbeats reach no controller gets no new tasks, although commands reach it", async () => {
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
  world.controllers.dropHeartbeats(id, 60_000);
  // Jobs for this machine type keep arriving, so that commands and their responses are still exchanged with the
  // machine.
  const late: SimJob[] = [];
  for (let i = 0; i < 40; i++) {
    late.push(world.users.submit({ ref: lateJobId(i), ...accel }, 1));
    await world.run(0.5);
    // Until now, the machine's last heartbeat may have been recent enough for placements on it.
    if (i === 12) started.length = 0;
  }
  assert.deepEqual(started, [], "no task started on the unreachable machine");
  await world.run(20);
  for (const job of late) assert.ok(job.doneTasks.size === 1, `${job.spec.ref} has completed its task`);
  assert.deepEqual(world.violations, []);
});

/**
 * Guards against duplicates of a lost machine's last heartbeat, sent repeatedly to every controller, renewing its
 * lease.
 */
test("late duplicates of a lost machine's heartbeat neither renew its lease nor restore the machine", async () => {
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
  assert.equal(
    world.fleet.liveTasks("job-000001").length,
    4,
    "its tasks run on other machines after its lease expired",
  );
  assert.ok([...world.fleet.workers.keys()].every((name) => name !== id));
  assert.deepEqual(world.violations, []);
});
