import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

/**
 * Machines behind a partition are there when it ends. Their leases expire, so that the leader takes them for empty; that
 * once counted as idle, and all of them were scaled in a moment before the partition was over.
 */
test("a zone that is partitioned off for longer than a lease keeps its machines", async () => {
  const world = new World(77);
  await world.run(3);
  for (let index = 0; index < 8; index++) {
    const ref = `job-00000${index}`;
    const crew = index % 2 ? "one" : "two";
    world.users.submit(
      { ref, crew, form: "standing", rank: "prod", spores: 2, cores: 2, windfall: false, scatter: true },
      null,
    );
  }
  await world.run(25);
  const machines = [...world.fleet.workers.values()]
    .map((worker) => worker.machine)
    .filter((machine) => machine.zone === "b");
  assert.ok(machines.length >= 3, `machines in the zone: ${machines.length}`);
  // Whatever boots there meanwhile is behind the partition, too.
  const inZone = world.fleet.zoneHosts("b");
  world.net.partition(inZone, (host) => !inZone(host), 38_000);
  await world.run(37);
  for (const { id } of machines) assert.ok(world.cloud.machines.has(id), `${id} was scaled in`);
  await world.run(20);
  assert.deepEqual(world.violations, []);
  for (let index = 0; index < 8; index++)
    assert.equal(world.fleet.liveTasks(`job-00000${index}`).length, 2, "both replicas run again");
});

/** A new leader scaled machines in at once as never come up, by their age in the cloud's list, before their heartbeats came. */
test("a new leader keeps machines that came up for the last one and are cut off at the moment", async () => {
  const world = new World(80, { controllerCount: 5 });
  await world.run(3);
  const spec = { form: "standing", rank: "prod", spores: 4, cores: 2, memoryGb: 4, windfall: false };
  const job = world.users.submit({ ref: "job-000001", ...spec }, null);
  // Longer than any boot may take.
  await world.run(70);
  const [ref] = [...world.fleet.workers].find(([, worker]) => worker.tasks.size > 0)!;
  world.users.cancel(job);
  await world.run(6);
  const { address } = world.fleet.workers.get(ref)!.machine;
  world.net.partition(
    (host) => host === address,
    () => true,
    14_000,
  );
  world.controllers.names.forEach((name) => world.controllers.crash(name, 500));
  await world.run(11);
  assert.ok(world.cloud.machines.has(ref), `${ref} still exists`);
  assert.deepEqual(world.violations, []);
});

/**
 * Inside a zone that is partitioned off its controllers go on acknowledging, so that what runs there outlives the partition;
 * but no longer than a cancellation may take, for its stops can't come in either (rule `ran_cancelled`).
 */
const partitions: {
  name: string;
  durationS: number;
  isLeaderInside: boolean;
  leaderCrashAfterS?: number;
  survives: boolean;
}[] = [
  { name: "for longer than a lease", durationS: 17, isLeaderInside: false, survives: true },
  { name: "with the leader in it", durationS: 17, isLeaderInside: true, survives: true },
  {
    name: "while the leader outside crashes",
    durationS: 17,
    isLeaderInside: false,
    leaderCrashAfterS: 5,
    survives: true,
  },
  {
    name: "for longer than a cancellation may take",
    durationS: 45,
    isLeaderInside: false,
    survives: false,
  },
];
for (const [index, partition] of partitions.entries()) {
  const { name, durationS, isLeaderInside, leaderCrashAfterS, survives } = partition;
  test(`a zone with controllers is partitioned off: ${name}`, async () => {
    const zones = ["a", "a", "a", "b", "b"];
    const world = new World(300 + index, { controllerCount: 5, zones, capacity: 16 });
    await world.run(3);
    const isInside = (controller: string): boolean =>
      zones[world.controllers.names.indexOf(controller)] === "b";
    for (let tries = 0; isInside(world.leader ?? "") !== isLeaderInside && tries < 40; tries++) {
      world.controllers.crash(world.controllers.leaderOrFirst, 2500);
      await world.run(3);
    }
    assert.equal(isInside(world.leader!), isLeaderInside);
    const refs = Array.from({ length: 5 }, (_, number) => `job-00000${number}`);
    for (const [number, ref] of refs.entries()) {
      const crew = number % 2 ? "one" : "two";
      world.users.submit(
        { ref, crew, form: "standing", rank: "prod", spores: 4, cores: 1, windfall: false, scatter: true },
        null,
      );
    }
    await world.run(25);
    const attemptsInside = (): string[] =>
      refs
        .flatMap((ref) => world.fleet.liveTasks(ref))
        .filter(({ worker }) => worker.machine.zone === "b")
        .map(({ task }) => `${task.name} ${task.attempt}`);
    const before = attemptsInside();
    assert.ok(before.length >= 5, `${before.length} replicas in the zone`);
    const isInZone = world.fleet.zoneHosts("b", "n3:80", "n4:80");
    world.net.partition(isInZone, (host) => !isInZone(host), durationS * 1000);
    if (leaderCrashAfterS !== undefined)
      world.clock.after(leaderCrashAfterS * 1000, () =>
        world.controllers.crash(world.controllers.leaderOrFirst, 2000),
      );
    await world.run(2);
    // Once its cancellation is confirmed, its replicas behind the partition must be gone in time all the same.
    const cancelled = world.users.jobs.get(refs[0]!)!;
    world.users.cancel(cancelled);
    await world.run(durationS - 2.5);
    const kept = before.filter((attempt) => !attempt.startsWith(`${refs[0]}/`));
    const after = new Set(attemptsInside());
    assert.equal(kept.filter((attempt) => after.has(attempt)).length, survives ? kept.length : 0);
    await world.run(35);
    assert.equal(cancelled.finalPhase, "withdrawn");
    for (const ref of refs.slice(1))
      assert.equal(world.fleet.liveTasks(ref).length, 4, `${ref}: all replicas run`);
    assert.deepEqual(world.violations, []);
  });
}
