import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

test("an outage of the state store that is longer than the workers' leases ends no running task", async () => {
  const world = new World(78);
  await world.run(3);
  const fields = { form: "standing", rank: "prod", spores: 2, windfall: false, scatter: true };
  world.users.submit({ ref: "job-000001", ...fields }, null);
  await world.run(20);
  const running = (): string[] =>
    world.fleet
      .liveTasks("job-000001")
      .map(({ worker, task }) => `${worker.machine.id} ${task.attempt} ${task.phase}`);
  const before = running();
  assert.equal(before.length, 2);
  world.stateStore.startOutage(20_000);
  await world.run(30);
  assert.deepEqual(running(), before);
  assert.deepEqual(world.violations, []);
});

/**
 * Guards against a loss of service during a state store outage: all controllers were unready for as long as their
 * leader kept the leadership, so the load balancer removed all of them.
 */
test("every controller stays ready during a state store outage, but one that alone is rejected does not", async () => {
  const world = new World(79, { controllerCount: 5 });
  await world.run(5);
  const status = (): Promise<number[]> => {
    const all = Promise.all(
      world.controllers.names.map((name) => world.users.request("GET", "/ready", undefined, name)),
    );
    return world.run(0.2).then(async () => (await all).map((response) => response.status));
  };
  assert.deepEqual(await status(), [200, 200, 200, 200, 200]);
  world.stateStore.startOutage(12_000);
  for (const seconds of [1, 2, 2, 3, 3]) {
    await world.run(seconds);
    assert.deepEqual(await status(), [200, 200, 200, 200, 200]);
  }
  await world.run(10);
  const rejectedController = world.controllers.names.find((name) => name !== world.leader)!;
  world.stateStore.refuseHost(`${rejectedController}:80`, 15_000);
  await world.run(8);
  assert.deepEqual(
    (await status()).map((code, index) => [world.controllers.names[index], code]),
    world.controllers.names.map((name) => [name, name === rejectedController ? 503 : 200]),
  );
});
