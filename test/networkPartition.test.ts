import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./fakes/world.js";

/**
 * Machines behind a cut are there when it ends. Their tasks' leases end, which leaves them empty in the leader's eyes;
 * that once counted as idle, and all of them were given back a moment before the cut was over.
 */
test("a zone that is cut off for longer than a lease keeps its machines", async () => {
  const world = new World(77);
  await world.run(3);
  for (let i = 0; i < 8; i++) {
    const ref = `job-00000${i}`;
    const crew = i % 2 ? "one" : "two";
    world.users.submit(
      { ref, crew, form: "standing", rank: "prod", spores: 2, cores: 2, windfall: false, scatter: true },
      null,
    );
  }
  await world.run(25);
  const far = [...world.fleet.workers.values()].filter((x) => x.machine.zone === "b").map((x) => x.machine);
  assert.ok(far.length >= 3, `machines in the zone: ${far.length}`);
  // Whatever boots there meanwhile is behind the cut, too.
  const inZone = world.fleet.zoneHosts("b");
  world.net.partition(inZone, (h) => !inZone(h), 38_000);
  await world.run(37);
  for (const t of far) assert.ok(world.cloud.machines.has(t.id), `${t.id} was given back behind the cut`);
  await world.run(20);
  assert.deepEqual(world.violations, []);
  for (let i = 0; i < 8; i++)
    assert.equal(world.fleet.liveTasks(`job-00000${i}`).length, 2, "both replicas run again");
});

/** A new leader gave machines back at once as never come up, by their age in the list, because it had not heard them yet. */
test("a new leader keeps machines that came up for the last one and are cut off at the moment", async () => {
  const world = new World(80, { controllerCount: 5 });
  await world.run(3);
  const spec = { form: "standing", rank: "prod", spores: 4, cores: 2, memoryGb: 4, windfall: false };
  const job = world.users.submit({ ref: "job-000001", ...spec }, null);
  // Longer than any boot may take.
  await world.run(70);
  const [ref] = [...world.fleet.workers].find(([, x]) => x.tasks.size > 0)!;
  world.users.cancel(job);
  await world.run(6);
  const { address } = world.fleet.workers.get(ref)!.machine;
  world.net.partition(
    (h) => h === address,
    () => true,
    14_000,
  );
  world.controllers.names.forEach((n) => world.controllers.crash(n, 500));
  await world.run(11);
  assert.ok(world.cloud.machines.has(ref), `${ref} is still rented`);
  assert.deepEqual(world.violations, []);
});

/**
 * Inside a zone that is cut off its controllers go on acknowledging, so that what runs there outlives the cut; but no
 * longer than a cancellation may take, for its stops can't come in either (rule `ran_cancelled`).
 */
const cutZones: { name: string; cutS: number; leaderInside: boolean; crashS?: number; survives: boolean }[] =
  [
    { name: "longer than two leases", cutS: 17, leaderInside: false, survives: true },
    { name: "with the leader in it", cutS: 17, leaderInside: true, survives: true },
    { name: "while the leader outside ends", cutS: 17, leaderInside: false, crashS: 5, survives: true },
    { name: "longer than a cancellation may take", cutS: 45, leaderInside: false, survives: false },
  ];
for (const [i, c] of cutZones.entries()) {
  test(`a zone with controllers is cut off: ${c.name}`, async () => {
    const zones = ["a", "a", "a", "b", "b"];
    const w = new World(300 + i, { controllerCount: 5, zones, capacity: 16 });
    await w.run(3);
    const inside = (name: string): boolean => zones[w.controllers.names.indexOf(name)] === "b";
    for (let n = 0; inside(w.leader ?? "") !== c.leaderInside && n < 40; n++) {
      w.controllers.crash(w.controllers.leaderOrFirst, 2500);
      await w.run(3);
    }
    assert.equal(inside(w.leader!), c.leaderInside);
    const refs = Array.from({ length: 5 }, (_, n) => `job-00000${n}`);
    for (const [n, ref] of refs.entries()) {
      const crew = n % 2 ? "one" : "two";
      w.users.submit(
        { ref, crew, form: "standing", rank: "prod", spores: 4, cores: 1, windfall: false, scatter: true },
        null,
      );
    }
    await w.run(25);
    const inB = (): string[] =>
      refs
        .flatMap((ref) => w.fleet.liveTasks(ref))
        .filter((x) => x.worker.machine.zone === "b")
        .map((x) => `${x.task.name} ${x.task.attempt}`);
    const before = inB();
    assert.ok(before.length >= 5, `${before.length} replicas in the zone`);
    const within = w.fleet.zoneHosts("b", "n3:80", "n4:80");
    w.net.partition(within, (h) => !within(h), c.cutS * 1000);
    if (c.crashS !== undefined)
      w.clock.after(c.crashS * 1000, () => w.controllers.crash(w.controllers.leaderOrFirst, 2000));
    await w.run(2);
    // Told cancelled, its replicas behind the cut must be gone in time all the same.
    const cancelled = w.users.jobs.get(refs[0]!)!;
    w.users.cancel(cancelled);
    await w.run(c.cutS - 2.5);
    const kept = before.filter((t) => !t.startsWith(`${refs[0]}/`));
    const still = new Set(inB());
    assert.equal(kept.filter((t) => still.has(t)).length, c.survives ? kept.length : 0);
    await w.run(35);
    assert.equal(cancelled.finalPhase, "withdrawn");
    for (const ref of refs.slice(1))
      assert.equal(w.fleet.liveTasks(ref).length, 4, `${ref}: all replicas run`);
    assert.deepEqual(w.violations, []);
  });
}
