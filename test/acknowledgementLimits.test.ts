import assert from "node:assert/strict";
import test from "node:test";
import { type Attempt, Job, Machine } from "../src/bookkeeping/workload.js";
import { AcknowledgementLimits } from "../src/coordination/heartbeats/acknowledgementLimits.js";
import type { JobSpec } from "../src/protocol/model.js";

test("a machine with a cancelled task that stays is left to its lease in time, others go on; a zone counts it", () => {
  const bound = new AcknowledgementLimits({ cancelS: 37, leaseS: 12, clockErrorMs: 25 });
  assert.equal(bound.untilMs, -Infinity, "nothing read yet, nothing acknowledged");
  const machine = (name: string, zone: string): Machine => new Machine(name, null, zone, false, 1, 0);
  const [m1, m2] = [machine("m1", "a"), machine("m2", "b")];
  const job = (cancelledAt: Date | null, ...on: Machine[]): Job => {
    const j = new Job({ id: "job-1", tasks: 2 } as JobSpec, new Date(0), 1, cancelledAt, 0);
    on.forEach((x) => j.attempts.add({ machine: x } as Attempt));
    return j;
  };
  const today = new Date(1_000_000_000);
  const ago = (s: number): Date => new Date(today.getTime() - s * 1000);
  const cases: [string, Job[], string[], [number, number]][] = [
    ["nothing is cancelled", [job(null, m1, m2)], [], [123_960, 123_960]],
    ["just now", [job(ago(0), m1)], [], [123_910, 123_960]],
    ["ten seconds ago", [job(ago(10), m1), job(ago(1), m1)], [], [113_910, 123_960]],
    ["a grant could outlast it", [job(ago(21.5), m1, m2)], ["m1", "m2"], [123_960, 123_960]],
    ["long ago", [job(ago(100), m2), job(ago(3), m1)], ["m2"], [120_910, 123_960]],
    ["its tasks are gone", [job(ago(100))], [], [123_960, 123_960]],
  ];
  for (const [name, jobs, quarantined, zones] of cases) {
    bound.update(100_000, jobs, 100_000, today);
    assert.deepEqual(bound.quarantined, quarantined, name);
    ["a", "b"].forEach((z, i) => assert.ok(Math.abs(bound.zoneUntilMs(z) - zones[i]!) < 10, `${name}: ${z}`));
  }
});
