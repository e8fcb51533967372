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
    world.submit(
      { ref, crew, form: "standing", rank: "prod", spores: 2, cores: 2, windfall: false, scatter: true },
      null,
    );
  }
  await world.run(25);
  const far = [...world.workers.values()].filter((x) => x.tuft.patch === "b").map((x) => x.tuft);
  assert.ok(far.length >= 3, `machines in the zone: ${far.length}`);
  // Whatever boots there meanwhile is behind the cut, too.
  const inZone = world.inZone("b");
  world.net.cut(inZone, (h) => !inZone(h), 38_000);
  await world.run(37);
  for (const t of far) assert.ok(world.cloud.tufts.has(t.ref), `${t.ref} was given back behind the cut`);
  await world.run(20);
  assert.deepEqual(world.broken, []);
  for (let i = 0; i < 8; i++) assert.equal(world.live(`job-00000${i}`).length, 2, "both replicas run again");
});

/** A new leader gave machines back at once as never come up, by their age in the list, because it had not heard them yet. */
test("a new leader keeps machines that came up for the last one and are cut off at the moment", async () => {
  const world = new World(80, { size: 5 });
  await world.run(3);
  const spec = { form: "standing", rank: "prod", spores: 4, cores: 2, memoryGb: 4, windfall: false };
  const job = world.submit({ ref: "job-000001", ...spec }, null);
  // Longer than any boot may take.
  await world.run(70);
  const [ref] = [...world.workers].find(([, x]) => x.tasks.size > 0)!;
  world.cancel(job);
  await world.run(6);
  const { address } = world.workers.get(ref)!.tuft;
  world.net.cut(
    (h) => h === address,
    () => true,
    14_000,
  );
  world.names.forEach((n) => world.crash(n, 500));
  await world.run(11);
  assert.ok(world.cloud.tufts.has(ref), `${ref} is still rented`);
  assert.deepEqual(world.broken, []);
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
    const w = new World(300 + i, { size: 5, zones, capacity: 16 });
    await w.run(3);
    const inside = (name: string): boolean => zones[w.names.indexOf(name)] === "b";
    for (let n = 0; inside(w.leader ?? "") !== c.leaderInside && n < 40; n++) {
      w.crash(w.leader ?? "n0", 2500);
      await w.run(3);
    }
    assert.equal(inside(w.leader!), c.leaderInside);
    const refs = Array.from({ length: 5 }, (_, n) => `job-00000${n}`);
    for (const [n, ref] of refs.entries()) {
      const crew = n % 2 ? "one" : "two";
      w.submit(
        { ref, crew, form: "standing", rank: "prod", spores: 4, cores: 1, windfall: false, scatter: true },
        null,
      );
    }
    await w.run(25);
    const inB = (): string[] =>
      refs
        .flatMap((ref) => w.live(ref))
        .filter((x) => x.w.tuft.patch === "b")
        .map((x) => `${x.task.spore} ${x.task.sprout}`);
    const before = inB();
    assert.ok(before.length >= 5, `${before.length} replicas in the zone`);
    const within = w.inZone("b", "n3:80", "n4:80");
    w.net.cut(within, (h) => !within(h), c.cutS * 1000);
    if (c.crashS !== undefined) w.clock.after(c.crashS * 1000, () => w.crash(w.leader ?? "n0", 2000));
    await w.run(2);
    // Told cancelled, its replicas behind the cut must be gone in time all the same.
    const cancelled = w.jobs.get(refs[0]!)!;
    w.cancel(cancelled);
    await w.run(c.cutS - 2.5);
    const kept = before.filter((t) => !t.startsWith(`${refs[0]}/`));
    const still = new Set(inB());
    assert.equal(kept.filter((t) => still.has(t)).length, c.survives ? kept.length : 0);
    await w.run(35);
    assert.equal(cancelled.told, "withdrawn");
    for (const ref of refs.slice(1)) assert.equal(w.live(ref).length, 4, `${ref}: all replicas run`);
    assert.deepEqual(w.broken, []);
  });
}
