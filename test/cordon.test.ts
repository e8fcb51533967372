import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Attempt, Job } from "../src/bookkeeping/workload.js";
import { liftExpiredCordon } from "../src/coordination/machines/cordon.js";
import type { JobSpec } from "../src/protocol/model.js";
import { LeaderTermFixture } from "./fakes/leaderTermFixture.js";

describe("a machine", () => {
  const runsElsewhere = (job: Job): void => void job.markDone(1);
  const cases: { name: string; failures: number[]; prepare?: (job: Job) => void; isCordoned: boolean }[] = [
    { name: "is not cordoned without failures", failures: [], isCordoned: false },
    { name: "is not cordoned when only one job fails", failures: [9], isCordoned: false },
    { name: "is not cordoned when two jobs fail once each", failures: [1, 1], isCordoned: false },
    { name: "is cordoned when two jobs fail three times in total", failures: [2, 1], isCordoned: true },
    {
      name: "is not cordoned when a job that runs well elsewhere fails once",
      failures: [1],
      prepare: runsElsewhere,
      isCordoned: false,
    },
    {
      name: "is cordoned when a job that runs well elsewhere fails twice",
      failures: [2],
      prepare: runsElsewhere,
      isCordoned: true,
    },
    {
      name: "is not cordoned when the jobs fail on every machine",
      failures: [9, 9],
      prepare: (job) =>
        ["host-1", "host-2", "host-3", "host-4"].forEach((name) => job.failedMachineNames.add(name)),
      isCordoned: false,
    },
  ];
  for (const { name, failures, prepare, isCordoned } of cases)
    test(name, () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      for (const [index, count] of failures.entries()) {
        const job = term.addJob({ id: `job-${index}` });
        prepare?.(job);
        machine.consecutiveFailures.set(job.id, count);
      }
      term.cordon.cordonIfFaulty(machine);
      assert.equal(machine.isCordoned, isCordoned);
      assert.equal(machine.cordonReason, isCordoned ? "repeated task failures" : "");
    });
});

test("a faulty machine keeps running tasks, evicts attempts that have not started, and is uncordoned after 90 seconds", () => {
  const term = new LeaderTermFixture();
  const machine = term.createMachine();
  const attempts = (["running", "saving", "waiting", "fetching", null] as const).map((phase, index) =>
    term.addAttempt(term.addJob({ id: `job-${index}` }), machine, { phase }),
  );
  machine.consecutiveFailures.set("job-0", 2).set("job-1", 1);
  term.cordon.cordonIfFaulty(machine);
  assert.deepEqual(
    attempts.map(({ phase, stop }) => [phase, stop !== null]),
    [
      ["running", false],
      ["saving", false],
      ["waiting", false],
      ["fetching", true],
      [null, true],
    ],
  );
  assert.equal(machine.consecutiveFailures.size, 0, "the count of consecutive failures starts again");
  const untilMs = term.clock.nowMs() + 90_000;
  liftExpiredCordon(machine, untilMs);
  assert.equal(machine.isCordoned, true);
  liftExpiredCordon(machine, untilMs + 1);
  assert.equal(machine.isCordoned, false);
});

describe("before an interruption with 100 seconds of notice,", () => {
  const cases: {
    name: string;
    spec?: Partial<JobSpec>;
    attempt?: Partial<Attempt>;
    /** Time for which the task has run, in seconds. */
    ranS?: number;
    /** Grace period of the stop request, in seconds; null if the task is not stopped. */
    graceS: number | null;
  }[] = [
    { name: "a task that is expected to finish within 59 seconds keeps running", ranS: 41, graceS: null },
    { name: "a task that is expected to run for 60 more seconds is stopped", ranS: 40, graceS: 0 },
    {
      name: "a task with checkpoints is stopped with enough time to save a checkpoint",
      spec: { checkpointS: 30, saveS: 4 },
      ranS: 99,
      graceS: 5,
    },
    {
      name: "a task that is not running yet is stopped",
      attempt: { phase: "fetching" },
      ranS: 99,
      graceS: 0,
    },
    { name: "a gang's task is stopped", spec: { kind: "gang" }, ranS: 99, graceS: 0 },
    { name: "a service's task is stopped", spec: { kind: "service" }, ranS: 99, graceS: 0 },
  ];
  for (const { name, spec, attempt: change, ranS = 0, graceS } of cases)
    test(name, async () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      const runningMs = term.clock.nowMs();
      const attempt = term.addAttempt(term.addJob(spec), machine, { phase: "running", runningMs, ...change });
      await term.clock.advance(ranS * 1000);
      machine.interruptionAtMs = term.clock.nowMs() + 100_000;
      term.cordon.drainBeforeInterruption(machine);
      assert.equal(attempt.stop?.graceS ?? null, graceS);
      assert.equal(machine.isCordoned, true);
      assert.equal(machine.cordonReason, "spot interruption notice");
    });
});
