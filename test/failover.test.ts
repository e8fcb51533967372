import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { World } from "./fakes/world.js";

/**
 * Guards against a slow takeover. On the smallest controllers, the only survivor of a crash waited 4 s for the
 * leadership lease, and the workers' leases of 12 s expired before it and the restarted controllers had answered all
 * workers.
 */
test("the only survivor of a crash of all other controllers becomes leader within two seconds", async () => {
  const world = new World(7, { controllerCount: 5 });
  await world.run(10);
  const failedLeader = world.leader!;
  const survivor = world.controllers.names.find((name) => name !== failedLeader)!;
  for (const name of world.controllers.names) if (name !== survivor) world.controllers.crash(name, 5000);
  await world.run(2);
  assert.equal(world.leader, survivor);
  await world.run(20);
  assert.deepEqual(world.violations, []);
});

test("a leader that writes nothing keeps its lease while all links between controllers are refused", async () => {
  const world = new World(8, { controllerCount: 5 });
  await world.run(12);
  const { leader } = world;
  world.controllers.peerLinksDownUntilMs = world.clock.nowMs() + 6000;
  for (const name of world.controllers.names) world.controllers.reportPeerRefused(name, 0);
  await world.run(6);
  assert.equal(world.leader, leader);
  await world.run(20);
  assert.deepEqual(world.violations, []);
});

/**
 * Until a process serves, the kernel refuses connections, so no worker or user waits for a process that cannot answer
 * yet.
 */
describe("a new process serves workers and users", () => {
  const GRANT_TIMEOUT_MS = 2500;
  async function measureServingDelayMs(world: World, name: string): Promise<number> {
    const startedMs = world.clock.nowMs();
    let servedMs = Infinity;
    void world.controllers
      .controllerOf(name)
      .waitForFirstGrant(GRANT_TIMEOUT_MS)
      .then(() => (servedMs = world.clock.nowMs()));
    await world.run(4);
    return servedMs - startedMs;
  }

  test("as soon as it has the leader's grant", async () => {
    const world = new World(9);
    await world.run(5);
    const name = world.controllers.names.find((controller) => controller !== world.leader)!;
    world.controllers.crash(name, 500);
    await world.run(0.501);
    const delayMs = await measureServingDelayMs(world, name);
    assert.ok(delayMs > 0 && delayMs < 1200, `after ${delayMs} ms`);
  });

  test("as soon as it leads and has read the records", async () => {
    const world = new World(9, { controllerCount: 1 });
    await world.run(5);
    world.controllers.crash("n0", 500);
    await world.run(0.501);
    const delayMs = await measureServingDelayMs(world, "n0");
    assert.ok(delayMs > 0 && delayMs < 1200, `after ${delayMs} ms`);
  });

  test("after a timeout, if there is no leader", async () => {
    const world = new World(9);
    await world.run(5);
    world.stateStore.startOutage(20_000);
    for (const name of world.controllers.names) world.controllers.crash(name, 500);
    await world.run(0.501);
    assert.equal(await measureServingDelayMs(world, "n1"), GRANT_TIMEOUT_MS);
  });
});
