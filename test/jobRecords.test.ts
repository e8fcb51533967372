import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { KnownZones } from "../src/bookkeeping/knownZones.js";
import { encodeChunk, encodeHead, keys, type AttemptRecord } from "../src/bookkeeping/records.js";
import type { Machine } from "../src/bookkeeping/workload.js";
import { JobRecords } from "../src/coordination/records/jobRecords.js";
import { MachineRegistry } from "../src/coordination/term/machineRegistry.js";
import { UNKNOWN_ZONE } from "../src/protocol/model.js";
import { ARRAY_OF_TWO } from "./fakes/jobSpec.js";
import { FIRST_TOKEN, LeaderTermFixture } from "./fakes/leaderTermFixture.js";

const ZONES = new KnownZones(["a", "b"]);
const MACHINE = "host-1";

/** A term that reads the records of a job with the given attempts, in the order of their tasks. */
function loadAttempts(attempts: AttemptRecord[], prepare: (machines: MachineRegistry) => void): Machine {
  const term = new LeaderTermFixture();
  const machines = new MachineRegistry(FIRST_TOKEN, term.clock);
  prepare(machines);
  const records = new JobRecords({ ...term, machines, onJobRemoved: () => undefined });
  const spec = { ...ARRAY_OF_TWO, tasks: 1000 };
  const head = encodeHead({ spec, acceptedAt: new Date(0), cancelledAt: null });
  records.applyHead({ key: keys.head(spec.id), value: head, version: 1 });
  for (const [index, attempt] of attempts.entries()) {
    const value = encodeChunk({ done: new Uint8Array(), attempts: [attempt] });
    records.loadChunk({ key: keys.chunk(spec.id, index), value, version: 1 }, ZONES);
  }
  return machines.get(MACHINE)!;
}

describe("the zone of a machine that a new leader reads from records", () => {
  const cases: { name: string; storedZones: string[]; reportedZone?: string; zone: string }[] = [
    { name: "is the stored one", storedZones: ["b", "b"], zone: "b" },
    { name: "is unknown if none is stored", storedZones: [UNKNOWN_ZONE], zone: UNKNOWN_ZONE },
    { name: "is unknown if the settings do not know it", storedZones: ["c"], zone: UNKNOWN_ZONE },
    { name: "is unknown if two records contradict each other", storedZones: ["a", "b"], zone: UNKNOWN_ZONE },
    { name: "is unknown if only one of two records has it", storedZones: ["a", "c"], zone: UNKNOWN_ZONE },
    {
      name: "is the reported one, if its worker has reported",
      storedZones: ["a"],
      reportedZone: "b",
      zone: "b",
    },
  ];
  for (const { name, storedZones, reportedZone, zone } of cases)
    test(name, () => {
      const attempts = storedZones.map((storedZone, index) => ({
        task: index * 256,
        attempt: index + 1,
        machine: MACHINE,
        zone: storedZone,
      }));
      const machine = loadAttempts(attempts, (machines) => {
        if (reportedZone !== undefined) machines.getOrCreate(MACHINE, reportedZone).state = "up";
      });
      assert.equal(machine.zone, zone);
      assert.equal(machine.attempts.size, storedZones.length);
    });
});
