import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { KnownZones } from "../src/bookkeeping/knownZones.js";
import {
  decodeStoredMachine,
  encodeStoredMachine,
  type StoredMachine,
} from "../src/bookkeeping/storedMachine.js";
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

describe("a machine that an earlier version stored, or a zone that is not certain", () => {
  const cases: { name: string; zones: string[]; stored: unknown; decoded: StoredMachine | null }[] = [
    {
      name: "an earlier version wrote a name with a space",
      zones: ["a"],
      stored: "m 1 a",
      decoded: { machine: "m 1", zone: "a" },
    },
    {
      name: "an earlier version wrote a name and a zone with spaces",
      zones: ["far east"],
      stored: "m 1 far east",
      decoded: { machine: "m 1", zone: "far east" },
    },
    {
      name: "an earlier version wrote a name that begins with a space",
      zones: ["a"],
      stored: " m a",
      decoded: { machine: " m", zone: "a" },
    },
    {
      name: "an earlier version wrote a name with a space, and no zone",
      zones: ["a"],
      stored: "m 1 ",
      decoded: { machine: "m 1", zone: UNKNOWN_ZONE },
    },
    {
      name: "the first word of a known zone",
      zones: ["a", "far east"],
      stored: "m far",
      decoded: { machine: "m", zone: UNKNOWN_ZONE },
    },
    {
      name: "a known zone that is the first word of another one",
      zones: ["far", "far east"],
      stored: "m far",
      decoded: { machine: "m", zone: UNKNOWN_ZONE },
    },
    {
      name: "a known zone that is the last word of another one",
      zones: ["east", "far east"],
      stored: "m far east",
      decoded: { machine: "m", zone: UNKNOWN_ZONE },
    },
    {
      name: "an unknown zone",
      zones: ["a"],
      stored: "m elsewhere",
      decoded: { machine: "m", zone: UNKNOWN_ZONE },
    },
    {
      name: "an unknown zone in a pair",
      zones: ["a"],
      stored: ["m 1", "elsewhere"],
      decoded: { machine: "m 1", zone: UNKNOWN_ZONE },
    },
    {
      name: "an unknown zone with a space",
      zones: ["a"],
      stored: "m far east",
      decoded: { machine: "m", zone: UNKNOWN_ZONE },
    },
    { name: "no zone", zones: ["a"], stored: "m", decoded: { machine: "m", zone: UNKNOWN_ZONE } },
    { name: "no name", zones: ["a"], stored: "", decoded: null },
    { name: "no name in a pair", zones: ["a"], stored: ["", "a"], decoded: null },
    { name: "no zone in a pair", zones: ["a"], stored: ["m"], decoded: null },
    { name: "neither text nor a pair", zones: ["a"], stored: 7, decoded: null },
  ];
  for (const { name, zones, stored, decoded } of cases)
    test(name, () => assert.deepEqual(decodeStoredMachine(stored, new KnownZones(zones)), decoded));
});
