import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { zoneTaskCapacity } from "../src/coordination/scheduling/fitting.js";
import { UNKNOWN_ZONE, type JobSpec } from "../src/protocol/model.js";

// Guards against docs/incidents/zone-with-a-space.md (`wrong_place`): tasks in an unknown zone may be in any zone.
describe("how many more tasks of a job a zone may get", () => {
  const spread = { oneZone: false, spread: true };
  const oneZone = { oneZone: true, spread: false };
  const free = { oneZone: false, spread: false };
  const cases: {
    name: string;
    job: Pick<JobSpec, "oneZone" | "spread">;
    tasksByZone: [zone: string, tasks: number][];
    zone?: string;
    capacity: number;
  }[] = [
    { name: "no constraint", job: free, tasksByZone: [["b", 3]], capacity: Infinity },
    { name: "spread, no tasks yet", job: spread, tasksByZone: [], capacity: 3 },
    {
      name: "spread, tasks in the zone and elsewhere",
      job: spread,
      tasksByZone: [
        ["a", 2],
        ["b", 1],
      ],
      capacity: 1,
    },
    {
      name: "spread, tasks in an unknown zone",
      job: spread,
      tasksByZone: [
        ["a", 1],
        [UNKNOWN_ZONE, 2],
      ],
      capacity: 0,
    },
    {
      name: "spread, in an unknown zone",
      job: spread,
      tasksByZone: [["a", 1]],
      zone: UNKNOWN_ZONE,
      capacity: 0,
    },
    { name: "one zone, no tasks yet", job: oneZone, tasksByZone: [], capacity: Infinity },
    { name: "one zone, tasks in it", job: oneZone, tasksByZone: [["a", 2]], capacity: Infinity },
    {
      name: "one zone, tasks in another",
      job: oneZone,
      tasksByZone: [
        ["a", 2],
        ["b", 1],
      ],
      capacity: 0,
    },
    {
      name: "one zone, tasks in an unknown zone",
      job: oneZone,
      tasksByZone: [[UNKNOWN_ZONE, 1]],
      capacity: 0,
    },
    { name: "one zone, in an unknown zone", job: oneZone, tasksByZone: [], zone: UNKNOWN_ZONE, capacity: 0 },
  ];
  for (const { name, job, tasksByZone, zone = "a", capacity } of cases)
    test(name, () => {
      const spec = { tasks: 5, ...job } as JobSpec;
      assert.equal(zoneTaskCapacity(spec, new Map(tasksByZone), zone), capacity);
    });
});
