import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

/**
 * Guards against scaling in machines behind a partition. Their leases expire, so the leader considers them empty; they
 * once counted as idle for that reason, and all were scaled in shortly before the partition ended.
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
  // The filter also covers machines that boot in the zone during the partition.
  const inZone = world.fleet.zoneHosts("b");
  world.net.partition(inZone, (host) => !inZone(host), 38_000);
  await world.run(37);
  for (const { id } of machines) assert.ok(world.cloud.machines.has(id), `${id} was scaled in`);
  await world.run(20);
  assert.deepEqual(world.violations, []);
  for (let index = 0; index < 8; index++)
    assert.equal(
      world.fleet.liveTasks(`job-00000${index}`).length,
      2,
      "both replicas of the service run again",
    );
});

/**
 * Guards against a new leader scaling in machines that are up. It once judged by their age in the cloud's list that
 * they had never started, before their heartbeats arrived.
 */
test("a new leader keeps machines that started under its predecessor and are partitioned off at present", async () => {
  const world = new World(80, { controllerCount: 5 });
  await world.run(3);
  const spec = { form: "standing", rank: "prod", spores: 4, cores: 2, memoryGb: 4, windfall: false };
  const job = world.users.submit({ ref: "job-000001", ...spec }, null);
  // Longer than the time limit for any boot.
  await world.run(70);
  const [machineId] = [...world.fleet.workers].find(([, worker]) => worker.tasks.size > 0)!;
  world.users.cancel(job);
  await world.run(6);
  const { address } = world.fleet.workers.get(machineId)!.machine;
  world.net.partition(
    (host) => host === address,
    () => true,
    14_000,
  );
  world.controllers.names.forEach((name) => world.controllers.crash(name, 500));
  await world.run(11);
  assert.ok(world.cloud.machines.has(machineId), `${machineId} still exists`);
  assert.deepEqual(world.violations, []);
});

/**
 * Controllers inside a partitioned zone keep acknowledging heartbeats, so that tasks in the zone survive the partition.
 * They stop after the time that a cancellation may take, because stop commands cannot reach the zone either (rule
 * `ran_cancelled`).
 */
const partitionCases: {
  name: string;
  durationS: number;
  isLeaderInside: boolean;
  leaderCrashAfterS?: number;
  survives: boolean;
}[] = [
  {
    name: "its tasks survive a partition that is longer than a lease",
    durationS: 17,
    isLeaderInside: false,
    survives: true,
  },
  { name: "its tasks survive if the leader is inside", durationS: 17, isLeaderInside: true, survives: true },
  {
    name: "its tasks survive if the leader outside crashes",
    durationS: 17,
    isLeaderInside: false,
    leaderCrashAfterS: 5,
    survives: true,
  },
  {
    name: "its tasks end if the partition is longer than a cancellation may take",
    durationS: 45,
    isLeaderInside: false,
    survives: false,
  },
];
for (const [index, partition] of partitionCases.entries()) {
  const { name, durationS, isLeaderInside, leaderCrashAfterS, survives } = partition;
  test(`a zone with controllers is partitioned off: ${name}`, async () => {
    const zones = ["a", "a", "a", "b", "b"];
    const world = new World(300 + index, { controllerCount: 5, zones, capacity: 16 });
    await world.run(3);
    const isInside = (controller: string): boolean =>
      zones[world.controllers.names.indexOf(controller)] === "b";
    await world.moveLeader((name) => isInside(name) === isLeaderInside);
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
    // After the confirmed cancellation, the replicas behind the partition also have to end within the time limit.
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
