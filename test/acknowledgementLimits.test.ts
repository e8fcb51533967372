import assert from "node:assert/strict";
import test from "node:test";
import { type Attempt, Job, Machine } from "../src/bookkeeping/workload.js";
import { AcknowledgementLimits } from "../src/coordination/heartbeats/acknowledgementLimits.js";
import type { JobSpec } from "../src/protocol/model.js";

test("a cancelled task limits its machine's zone, and its machine is quarantined before a grant could outlast the limit", () => {
  const limits = new AcknowledgementLimits({ cancelS: 37, leaseS: 12, clockErrorMs: 25 });
  assert.equal(
    limits.acknowledgeUntilMs,
    -Infinity,
    "nothing may be acknowledged before the records have been read",
  );
  const machine = (name: string, zone: string): Machine => new Machine(name, zone, 1, 0);
  const [first, second] = [machine("m1", "a"), machine("m2", "b")];
  const job = (cancelledAt: Date | null, ...machines: Machine[]): Job => {
    const result = new Job({ id: "job-1", tasks: 2 } as JobSpec, new Date(0), 1, cancelledAt, 0);
    for (const each of machines) result.attempts.add({ machine: each } as Attempt);
    return result;
  };
  const wallTime = new Date(1_000_000_000);
  const ago = (seconds: number): Date => new Date(wallTime.getTime() - seconds * 1000);
  const cases: [
    name: string,
    jobs: Job[],
    quarantined: string[],
    zoneLimitsMs: [first: number, second: number],
  ][] = [
    ["no job is cancelled", [job(null, first, second)], [], [123_960, 123_960]],
    ["a job was cancelled just now", [job(ago(0), first)], [], [123_910, 123_960]],
    [
      "the earliest cancellation was ten seconds ago",
      [job(ago(10), first), job(ago(1), first)],
      [],
      [113_910, 123_960],
    ],
    ["a grant could outlast the limit", [job(ago(21.5), first, second)], ["m1", "m2"], [123_960, 123_960]],
    [
      "one job was cancelled long ago",
      [job(ago(100), second), job(ago(3), first)],
      ["m2"],
      [120_910, 123_960],
    ],
    ["the cancelled job has no tasks left", [job(ago(100))], [], [123_960, 123_960]],
  ];
  for (const [name, jobs, quarantined, zoneLimitsMs] of cases) {
    limits.update(100_000, jobs, 100_000, wallTime);
    assert.deepEqual(limits.quarantined, quarantined, name);
    for (const [index, zone] of ["a", "b"].entries())
      assert.ok(
        Math.abs(limits.zoneAcknowledgeUntilMs(zone) - zoneLimitsMs[index]!) < 10,
        `${name}: ${zone}`,
      );
  }
});
