import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { KnownZones } from "../src/bookkeeping/knownZones.js";
import { decodeStoredMachine, encodeStoredMachine } from "../src/bookkeeping/storedMachine.js";
import { UNKNOWN_ZONE } from "../src/protocol/model.js";

const ZONES = new KnownZones(["a", "far east", " north  east ", "b/c,d", "rack 1 of 2"]);

// Guards against docs/incidents/zone-with-a-space.md: a field was cut off at a character that it may contain.
describe("a machine and its zone are stored in a form that later versions read, and read back unchanged", () => {
  const cases: { stored: unknown; machine: string; zone: string }[] = [
    { stored: "m-1 a", machine: "m-1", zone: "a" },
    { stored: "m-1 far east", machine: "m-1", zone: "far east" },
    { stored: "m-1 rack 1 of 2", machine: "m-1", zone: "rack 1 of 2" },
    { stored: "m-1  north  east ", machine: "m-1", zone: " north  east " },
    { stored: "m/1,x b/c,d", machine: "m/1,x", zone: "b/c,d" },
    { stored: "m-1 ", machine: "m-1", zone: UNKNOWN_ZONE },
    { stored: ["m 1", "a"], machine: "m 1", zone: "a" },
    { stored: [" m", "far east"], machine: " m", zone: "far east" },
    { stored: ["m ", UNKNOWN_ZONE], machine: "m ", zone: UNKNOWN_ZONE },
  ];
  for (const { stored, machine, zone } of cases)
    test(JSON.stringify(stored), () => {
      assert.deepEqual(encodeStoredMachine({ machine, zone }), stored);
      assert.deepEqual(decodeStoredMachine(stored, ZONES), { machine, zone });
    });
});

describe("a machine that an earlier version stored, or whose zone is not certain", () => {
  const cases: { name: string; zones: string[]; stored: unknown; machine: string; zone?: string }[] = [
    {
      name: "an earlier version wrote a name with a space",
      zones: ["a"],
      stored: "m 1 a",
      machine: "m 1",
      zone: "a",
    },
    {
      name: "an earlier version wrote a name and a zone with spaces",
      zones: ["far east"],
      stored: "m 1 far east",
      machine: "m 1",
      zone: "far east",
    },
    {
      name: "an earlier version wrote a name that begins with a space",
      zones: ["a"],
      stored: " m a",
      machine: " m",
      zone: "a",
    },
    {
      name: "an earlier version wrote a name with a space, and no zone",
      zones: ["a"],
      stored: "m 1 ",
      machine: "m 1",
    },
    { name: "the first word of a known zone", zones: ["a", "far east"], stored: "m far", machine: "m" },
    {
      name: "a known zone that is the first word of another one",
      zones: ["far", "far east"],
      stored: "m far",
      machine: "m",
    },
    {
      name: "a known zone that is the last word of another one",
      zones: ["east", "far east"],
      stored: "m far east",
      machine: "m",
    },
    { name: "an unknown zone", zones: ["a"], stored: "m elsewhere", machine: "m" },
    { name: "an unknown zone in a pair", zones: ["a"], stored: ["m 1", "elsewhere"], machine: "m 1" },
    { name: "an unknown zone with a space", zones: ["a"], stored: "m far east", machine: "m" },
    { name: "no zone", zones: ["a"], stored: "m", machine: "m" },
  ];
  for (const { name, zones, stored, machine, zone = UNKNOWN_ZONE } of cases)
    test(name, () => assert.deepEqual(decodeStoredMachine(stored, new KnownZones(zones)), { machine, zone }));
});

describe("a value that is no machine is decoded to null", () => {
  const cases: { name: string; stored: unknown }[] = [
    { name: "no name", stored: "" },
    { name: "no name in a pair", stored: ["", "a"] },
    { name: "no zone in a pair", stored: ["m"] },
    { name: "neither text nor a pair", stored: 7 },
  ];
  for (const { name, stored } of cases)
    test(name, () => assert.equal(decodeStoredMachine(stored, ZONES), null));
});
