import assert from "node:assert/strict";
import test from "node:test";
import { World } from "./standins/world.js";

/**
 * Machines behind a cut are there when it ends. Their tasks' leases end, which leaves them empty in the leader's eyes;
 * that once counted as idle, and all of them were given back a moment before the cut was over.
 */
test("a zone that is cut off for longer than a lease keeps its machines", async () => {
  const w = new World(77);
  await w.run(3);
  for (let i = 0; i < 8; i++) {
    const ref = `job-00000${i}`;
    const crew = i % 2 ? "one" : "two";
    w.submit(
      { ref, crew, form: "standing", rank: "prod", spores: 2, cores: 2, windfall: false, scatter: true },
      null,
    );
  }
  await w.run(25);
  const far = [...w.workers.values()].filter((x) => x.tuft.patch === "b").map((x) => x.tuft);
  assert.ok(far.length >= 3, `machines in the zone: ${far.length}`);
  // Whatever boots there meanwhile is behind the cut, too.
  const inZone = (h: string): boolean =>
    [...w.workers.values()].some((x) => x.tuft.patch === "b" && x.tuft.address === h);
  w.net.cut(inZone, (h) => !inZone(h), 38_000);
  await w.run(37);
  for (const t of far) assert.ok(w.cloud.tufts.has(t.ref), `${t.ref} was given back behind the cut`);
  await w.run(20);
  assert.deepEqual(w.broken, []);
  for (let i = 0; i < 8; i++) assert.equal(w.live(`job-00000${i}`).length, 2, "both replicas run again");
});

test("an outage of the state service, longer than the workers' leases, costs no running task", async () => {
  const w = new World(78);
  await w.run(3);
  const fields = { form: "standing", rank: "prod", spores: 2, windfall: false, scatter: true };
  w.submit({ ref: "job-000001", ...fields }, null);
  await w.run(20);
  const before = w.live("job-000001").map((x) => `${x.w.tuft.ref} ${x.task.sprout} ${x.task.phase}`);
  assert.equal(before.length, 2);
  w.state.outage(20_000);
  await w.run(30);
  const after = w.live("job-000001").map((x) => `${x.w.tuft.ref} ${x.task.sprout} ${x.task.phase}`);
  assert.deepEqual(after, before);
  assert.deepEqual(w.broken, []);
});

/** An outage made every node call itself unready for as long as its leader still held; the balancer left all of them out. */
test("in an outage every node stays ready; one that is refused alone does not", async () => {
  const w = new World(79, { size: 5 });
  await w.run(5);
  const status = (): Promise<number[]> => {
    const all = Promise.all(w.names.map((n) => w.ask("GET", "/ready", undefined, n)));
    return w.run(0.2).then(async () => (await all).map((r) => r.status));
  };
  assert.deepEqual(await status(), [200, 200, 200, 200, 200]);
  w.state.outage(12_000);
  for (const s of [1, 2, 2, 3, 3]) {
    await w.run(s);
    assert.deepEqual(await status(), [200, 200, 200, 200, 200]);
  }
  await w.run(10);
  const alone = w.names.find((n) => n !== w.leader)!;
  w.state.refuse(`${alone}:80`, 15_000);
  await w.run(8);
  assert.deepEqual(
    (await status()).map((s, i) => [w.names[i], s]),
    w.names.map((n) => [n, n === alone ? 503 : 200]),
  );
});

/** A new leader gave machines back at once as never come up, by their age in the list, because it had not heard them yet. */
test("a new leader keeps machines that came up for the last one and are cut off at the moment", async () => {
  const w = new World(80, { size: 5 });
  await w.run(3);
  const spec = { form: "standing", rank: "prod", spores: 4, cores: 2, memoryGb: 4, windfall: false };
  const job = w.submit({ ref: "job-000001", ...spec }, null);
  // Longer than any boot may take.
  await w.run(70);
  const [ref] = [...w.workers].find(([, x]) => x.tasks.size > 0)!;
  w.cancel(job);
  await w.run(6);
  const { address } = w.workers.get(ref)!.tuft;
  w.net.cut(
    (h) => h === address,
    () => true,
    14_000,
  );
  w.names.forEach((n) => w.crash(n, 500));
  await w.run(11);
  assert.ok(w.cloud.tufts.has(ref), `${ref} is still rented`);
  assert.deepEqual(w.broken, []);
});
