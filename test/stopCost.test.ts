import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Job, type Attempt } from "../src/bookkeeping/workload.js";
import { hasJustBegun } from "../src/coordination/scheduling/stopCost.js";
import type { JobSpec } from "../src/protocol/model.js";

const NOW_MS = 200_000;

interface BegunJob {
  /** Tasks that run, and for how long they have. */
  running: number;
  ranS: number;
  doneCount?: number;
  kind?: JobSpec["kind"];
}

function begunJob({ running, ranS, doneCount = 0, kind = "array" }: BegunJob): Job {
  const job = new Job({ id: "a", tasks: 99, kind } as JobSpec, new Date(0), 1, null, 0);
  job.doneCount = doneCount;
  for (let task = 0; task < running; task++) job.attempts.add({ runningMs: NOW_MS - ranS * 1000 } as Attempt);
  return job;
}

describe("a job that began late, with a task or two, is not preempted for a while", () => {
  const cases: { name: string; job: BegunJob; nowMs?: number; expected: boolean }[] = [
    { name: "two tasks of ten seconds", job: { running: 2, ranS: 10 }, expected: true },
    {
      name: "early on, it began in its turn",
      job: { running: 2, ranS: 10 },
      nowMs: 140_000,
      expected: false,
    },
    { name: "many tasks", job: { running: 3, ranS: 10 }, expected: false },
    { name: "tasks that have run long", job: { running: 2, ranS: 40 }, expected: false },
    { name: "a task that is done", job: { running: 2, ranS: 10, doneCount: 1 }, expected: false },
    { name: "a service", job: { running: 1, ranS: 10, kind: "service" }, expected: false },
  ];
  for (const { name, job, nowMs = NOW_MS, expected } of cases)
    test(name, () => assert.equal(hasJustBegun(begunJob(job), nowMs), expected));
});
