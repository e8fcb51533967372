import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

test("an outage of the state service, longer than the workers' leases, costs no running task", async () => {
  const world = new World(78);
  await world.run(3);
  const fields = { form: "standing", rank: "prod", spores: 2, windfall: false, scatter: true };
  world.users.submit({ ref: "job-000001", ...fields }, null);
  await world.run(20);
  const before = world.fleet
    .liveTasks("job-000001")
    .map((x) => `${x.worker.machine.id} ${x.task.attempt} ${x.task.phase}`);
  assert.equal(before.length, 2);
  world.stateStore.startOutage(20_000);
  await world.run(30);
  const after = world.fleet
    .liveTasks("job-000001")
    .map((x) => `${x.worker.machine.id} ${x.task.attempt} ${x.task.phase}`);
  assert.deepEqual(after, before);
  assert.deepEqual(world.violations, []);
});

/** An outage made every node call itself unready for as long as its leader still held; the balancer left all of them out. */
test("in an outage every node stays ready; one that is refused alone does not", async () => {
  const world = new World(79, { controllerCount: 5 });
  await world.run(5);
  const status = (): Promise<number[]> => {
    const all = Promise.all(
      world.controllers.names.map((n) => world.users.request("GET", "/ready", undefined, n)),
    );
    return world.run(0.2).then(async () => (await all).map((r) => r.status));
  };
  assert.deepEqual(await status(), [200, 200, 200, 200, 200]);
  world.stateStore.startOutage(12_000);
  for (const s of [1, 2, 2, 3, 3]) {
    await world.run(s);
    assert.deepEqual(await status(), [200, 200, 200, 200, 200]);
  }
  await world.run(10);
  const alone = world.controllers.names.find((n) => n !== world.leader)!;
  world.stateStore.refuseHost(`${alone}:80`, 15_000);
  await world.run(8);
  assert.deepEqual(
    (await status()).map((s, i) => [world.controllers.names[i], s]),
    world.controllers.names.map((n) => [n, n === alone ? 503 : 200]),
  );
});
