import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Job, type Attempt } from "../src/bookkeeping/workload.js";
import { isInEarlyStartGrace } from "../src/coordination/scheduling/stopCost.js";
import type { JobSpec } from "../src/protocol/model.js";

const NOW_MS = 200_000;

interface StartedJob {
  /** Number of running tasks. */
  running: number;
  /** Seconds that each of them has run. */
  ranS: number;
  doneCount?: number;
  kind?: JobSpec["kind"];
}

function buildStartedJob({ running, ranS, doneCount = 0, kind = "array" }: StartedJob): Job {
  const job = new Job({ id: "a", tasks: 99, kind } as JobSpec, new Date(0), 1, null, 0);
  job.doneCount = doneCount;
  for (let task = 0; task < running; task++) job.attempts.add({ runningMs: NOW_MS - ranS * 1000 } as Attempt);
  return job;
}

describe("the first one or two tasks of an array that started overdue are not preempted for a while", () => {
  const cases: { name: string; job: StartedJob; nowMs?: number; expected: boolean }[] = [
    {
      name: "two tasks that have run for ten seconds are in the grace period",
      job: { running: 2, ranS: 10 },
      expected: true,
    },
    {
      name: "a job that is not overdue has no grace period",
      job: { running: 2, ranS: 10 },
      nowMs: 140_000,
      expected: false,
    },
    {
      name: "a job with more than two running tasks has no grace period",
      job: { running: 3, ranS: 10 },
      expected: false,
    },
    {
      name: "the grace period of tasks that have run for forty seconds is over",
      job: { running: 2, ranS: 40 },
      expected: false,
    },
    {
      name: "a job with a finished task has no grace period",
      job: { running: 2, ranS: 10, doneCount: 1 },
      expected: false,
    },
    {
      name: "a service has no grace period",
      job: { running: 1, ranS: 10, kind: "service" },
      expected: false,
    },
  ];
  for (const { name, job, nowMs = NOW_MS, expected } of cases)
    test(name, () => assert.equal(isInEarlyStartGrace(buildStartedJob(job), nowMs), expected));
});
