/** Zone names with spaces, and stored zones that are wrong or unknown: no proof that a task is gone may rely on them. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { keys } from "../src/bookkeeping/records.js";
import type { PlacedTask } from "./fakes/worker.js";
import { World } from "./fakes/world.js";

/** The first controllers are outside the zone that is partitioned off, the others inside. */
const CONTROLLERS_OUTSIDE = 3;
/** Longer than a worker's lease, shorter than the zone lease of the controllers inside. */
const PARTITION_S = 20;

/** Replaces the stored machines of all live jobs, each given as "name zone", the form of earlier versions. */
function rewriteStoredMachines(world: World, rewrite: (stored: string) => string): void {
  for (const [key, entry] of world.stateStore.entries) {
    if (!key.startsWith(keys.chunkPrefix)) continue;
    const value = entry.value as { m: (string | [name: string, zone: string])[] };
    entry.value = { ...value, m: value.m.map((stored) => rewrite([stored].flat().join(" "))) };
  }
}

function nameOf(stored: string): string {
  return stored.split(" ")[0]!;
}

/**
 * Guards against the fault of docs/incidents/zone-with-a-space.md (`ran_twice`): a new leader read a zone without its
 * second word, found no controller in it, and started its tasks elsewhere while the zone's controllers kept them running.
 */
describe("a zone is partitioned off, the leader outside crashes, and the new one does not start the zone's tasks twice", () => {
  const cases: {
    name: string;
    cloudZones: string[];
    /** The zone that is partitioned off. */
    zone: string;
    /** What the machines' names begin with; the default is that of the fake cloud. */
    machineNamePrefix?: string;
    /** Changes a stored machine before the new leader reads it; without this, the record stays as it was written. */
    rewrite?: (stored: string) => string;
    /** Whether the new leader can read the cloud's list; otherwise it has only the records to go by. */
    isCloudAvailable?: boolean;
  }[] = [
    { name: "its name is one word", cloudZones: ["a", "b"], zone: "b" },
    { name: "its name contains a space", cloudZones: ["a", "b east"], zone: "b east" },
    { name: "its name contains several spaces", cloudZones: ["a", " b  east "], zone: " b  east " },
    { name: "its name begins with another zone's", cloudZones: ["a", "b", "b east"], zone: "b east" },
    { name: "its name ends with another zone's", cloudZones: ["a", "east", "b east"], zone: "b east" },
    {
      name: "an earlier version stored the first word of its name",
      cloudZones: ["a", "b east"],
      zone: "b east",
      rewrite: (stored) => stored.replace("b east", "b"),
    },
    {
      name: "an earlier version stored the first word of its name, which is another zone's name",
      cloudZones: ["a", "b", "b east"],
      zone: "b east",
      rewrite: (stored) => stored.replace("b east", "b"),
    },
    {
      name: "a zone is stored that neither the settings nor the cloud know",
      cloudZones: ["a", "b"],
      zone: "b",
      rewrite: (stored) => `${nameOf(stored)} elsewhere`,
    },
    {
      name: "the names of its machines contain spaces",
      cloudZones: ["a", "b"],
      zone: "b",
      machineNamePrefix: "host no ",
    },
    {
      name: "the names of its machines and its own contain spaces",
      cloudZones: ["a", "b east"],
      zone: "b east",
      machineNamePrefix: "host no ",
    },
    {
      name: "an earlier version stored its machines, whose names contain spaces",
      cloudZones: ["a", "b"],
      zone: "b",
      machineNamePrefix: "host no ",
      rewrite: (stored) => stored,
    },
    {
      name: "an earlier version stored its machines, whose names contain spaces, with an unknown zone",
      cloudZones: ["a", "b"],
      zone: "b",
      machineNamePrefix: "host no ",
      rewrite: (stored) => stored.replace(/ b$/, " elsewhere"),
    },
    {
      name: "another zone is stored than the cloud lists",
      cloudZones: ["a", "b"],
      zone: "b",
      rewrite: (stored) => `${nameOf(stored)} a`,
      isCloudAvailable: true,
    },
    { name: "no zone is stored", cloudZones: ["a", "b"], zone: "b", rewrite: nameOf },
  ];
  for (const [index, { name, cloudZones, zone, rewrite, ...options }] of cases.entries())
    test(name, async () => {
      const zones = ["a", "a", "a", zone, zone];
      const world = new World(400 + index, {
        controllerCount: zones.length,
        zones,
        cloudZones,
        capacity: 16,
      });
      world.cloud.machineNamePrefix = options.machineNamePrefix ?? world.cloud.machineNamePrefix;
      await world.run(3);
      const outside = world.controllers.names.slice(0, CONTROLLERS_OUTSIDE);
      await world.moveLeader((name) => outside.includes(name));
      assert.ok(outside.includes(world.leader!));
      // Machines of zone "a" are left idle, so that a task that counts as gone starts again at once.
      const machine = { breeds: ["small"], cores: 4, memoryGb: 16, windfall: false };
      const service = { form: "standing", rank: "prod", ...machine };
      const filler = world.users.submit({ ref: "job-000009", ...service, spores: 5, patch: "a" }, null);
      await world.run(12);
      for (const other of cloudZones) if (other !== zone) world.cloud.fullZones.add(other);
      const refs = Array.from({ length: 5 }, (_, number) => `job-00000${number}`);
      for (const ref of refs) world.users.submit({ ref, crew: "two", ...service, spores: 1 }, null);
      await world.run(12);
      world.users.cancel(filler);
      await world.run(3);
      const tasksInside = (): string[] =>
        refs
          .flatMap((ref) => world.fleet.liveTasks(ref))
          .filter(({ worker }) => worker.machine.zone === zone)
          .map(({ task }) => `${task.name} ${task.attempt}`);
      const before = tasksInside();
      assert.ok(before.length >= 2, `${before.length} replicas in the zone`);
      const isInside = world.fleet.zoneHosts(zone, "n3:80", "n4:80");
      world.net.partition(isInside, (host) => !isInside(host), PARTITION_S * 1000);
      await world.run(0.5);
      world.controllers.crash(world.leader!, 5000);
      if (rewrite) rewriteStoredMachines(world, rewrite);
      if (!options.isCloudAvailable) world.cloud.startOutage(PARTITION_S * 1000);
      await world.run(PARTITION_S - 1);
      const after = new Set(tasksInside());
      assert.deepEqual(
        before.filter((task) => !after.has(task)),
        [],
        "the tasks run on",
      );
      await world.run(35);
      for (const ref of refs) assert.equal(world.fleet.liveTasks(ref).length, 1, `${ref} runs`);
      assert.deepEqual(world.violations, []);
    });
});

/**
 * Guards against the same fault's `wrong_place`: a new leader counted the tasks of a spread job in a zone that does not
 * exist, until their machines reported, and started the waiting tasks in the zone that was already full.
 */
describe("a new leader starts no more tasks of a spread job in a zone than allowed", () => {
  const cases: { name: string; zone: string; rewrite?: (stored: string) => string }[] = [
    { name: "the zone's name is one word", zone: "a" },
    { name: "the zone's name contains a space", zone: "a west" },
    {
      name: "an earlier version stored the first word of its name",
      zone: "a west",
      rewrite: (stored) => stored.replace("a west", "a"),
    },
    {
      name: "a zone is stored that neither the settings nor the cloud know",
      zone: "a",
      rewrite: (stored) => `${nameOf(stored)} elsewhere`,
    },
  ];
  for (const [index, { name, zone, rewrite }] of cases.entries())
    test(name, async () => {
      const zones = [zone, zone, zone];
      const world = new World(420 + index, { zones, cloudZones: [zone], capacity: 10 });
      await world.run(3);
      const refs = Array.from({ length: 5 }, (_, number) => `job-00000${number}`);
      for (const [number, ref] of refs.entries()) {
        const crew = number % 2 ? "one" : "two";
        world.users.submit(
          { ref, crew, spores: 4, cores: 2, memoryGb: 4, scatter: true, windfall: false },
          600,
        );
      }
      await world.run(25);
      for (const ref of refs) assert.equal(world.fleet.liveTasks(ref).length, 2, `${ref}: half of it runs`);
      const { leader } = world;
      world.controllers.crash(leader!, 3000);
      if (rewrite) rewriteStoredMachines(world, rewrite);
      world.cloud.startOutage(20_000);
      // The machines that reported to the crashed leader find another controller only after the new leader has planned.
      for (const [id] of world.fleet.workers) world.controllers.dropHeartbeats(id, 5000);
      await world.run(20);
      assert.deepEqual(
        world.violations.filter(({ rule }) => rule === "wrong_place"),
        [],
      );
    });
});

/**
 * Guards against a misread machine name: the leader waited for the lease of a machine that does not exist, and started
 * the task again while the real machine listed it, which no stop command reached.
 */
test("a task whose machine was stored under a name that cannot be read back stays on the machine that lists it", async () => {
  const world = new World(440, { cloudZones: ["a"] });
  world.cloud.machineNamePrefix = "host no ";
  await world.run(3);
  const service = { form: "standing", rank: "prod", spores: 1, cores: 4, memoryGb: 16, windfall: false };
  world.users.submit({ ref: "job-000001", ...service }, null);
  await world.run(12);
  const [{ worker, task }] = world.fleet.liveTasks("job-000001") as [PlacedTask];
  world.controllers.crash(world.leader!, 3000);
  rewriteStoredMachines(world, (stored) => stored.replace(/ a$/, " elsewhere"));
  worker.dropCommands(25_000);
  await world.run(45);
  assert.deepEqual(world.violations, []);
  assert.deepEqual(world.fleet.liveTasks("job-000001"), [{ worker, task }]);
});
