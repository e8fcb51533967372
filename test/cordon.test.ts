import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Attempt, Job } from "../src/bookkeeping/workload.js";
import { liftExpiredCordon } from "../src/coordination/machines/cordon.js";
import type { JobSpec } from "../src/protocol/model.js";
import { MachineTerm } from "./fakes/machineTerm.js";

describe("a machine is cordoned as faulty", () => {
  const runsElsewhere = (job: Job): void => void job.markDone(1);
  const cases: { name: string; failures: number[]; prepare?: (job: Job) => void; isCordoned: boolean }[] = [
    { name: "not without failures", failures: [], isCordoned: false },
    { name: "not when one job alone fails", failures: [9], isCordoned: false },
    { name: "not when two jobs fail once", failures: [1, 1], isCordoned: false },
    { name: "when two jobs fail three times together", failures: [2, 1], isCordoned: true },
    {
      name: "not when a job that runs elsewhere fails once",
      failures: [1],
      prepare: runsElsewhere,
      isCordoned: false,
    },
    {
      name: "when a job that runs elsewhere fails twice",
      failures: [2],
      prepare: runsElsewhere,
      isCordoned: true,
    },
    {
      name: "not when the jobs fail everywhere",
      failures: [9, 9],
      prepare: (job) => ["host-1", "host-2", "host-3", "host-4"].forEach((name) => job.failedOn.add(name)),
      isCordoned: false,
    },
  ];
  for (const { name, failures, prepare, isCordoned } of cases)
    test(name, () => {
      const term = new MachineTerm();
      const machine = term.machine();
      for (const [index, count] of failures.entries()) {
        const job = term.job({ id: `job-${index}` });
        prepare?.(job);
        machine.consecutiveFailures.set(job.id, count);
      }
      term.cordon.cordonIfFaulty(machine);
      assert.equal(machine.isCordoned, isCordoned);
      assert.equal(machine.cordonReason, isCordoned ? "fails what it starts" : "");
    });
});

test("a faulty machine keeps what runs, gives up what has not started, and is tried again after 90 seconds", () => {
  const term = new MachineTerm();
  const machine = term.machine();
  const attempts = (["running", "saving", "waiting", "fetching", null] as const).map((phase, index) =>
    term.attempt(term.job({ id: `job-${index}` }), machine, { phase }),
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
  assert.equal(machine.consecutiveFailures.size, 0, "counted anew afterwards");
  const untilMs = term.clock.nowMs() + 90_000;
  liftExpiredCordon(machine, untilMs);
  assert.equal(machine.isCordoned, true);
  liftExpiredCordon(machine, untilMs + 1);
  assert.equal(machine.isCordoned, false);
});

describe("before an interruption, with 100 seconds of notice,", () => {
  const cases: {
    name: string;
    spec?: Partial<JobSpec>;
    attempt?: Partial<Attempt>;
    /** How long the task has run. */
    ranS?: number;
    /** Null: the task is left alone. */
    graceS: number | null;
  }[] = [
    { name: "a task that should be over in 59 seconds is left alone", ranS: 41, graceS: null },
    { name: "a task that should run for 60 seconds more is stopped", ranS: 40, graceS: 0 },
    {
      name: "a task with checkpoints is stopped with the time to save one",
      spec: { checkpointS: 30, saveS: 4 },
      ranS: 99,
      graceS: 5,
    },
    { name: "a task that does not run yet is stopped", attempt: { phase: "fetching" }, ranS: 99, graceS: 0 },
    { name: "a gang's task is stopped", spec: { kind: "gang" }, ranS: 99, graceS: 0 },
    { name: "a service's task is stopped", spec: { kind: "service" }, ranS: 99, graceS: 0 },
  ];
  for (const { name, spec, attempt: change, ranS = 0, graceS } of cases)
    test(name, async () => {
      const term = new MachineTerm();
      const machine = term.machine();
      const runningMs = term.clock.nowMs();
      const attempt = term.attempt(term.job(spec), machine, { phase: "running", runningMs, ...change });
      await term.clock.advance(ranS * 1000);
      machine.interruptionAtMs = term.clock.nowMs() + 100_000;
      term.cordon.drainBeforeInterruption(machine);
      assert.equal(attempt.stop?.graceS ?? null, graceS);
      assert.equal(machine.isCordoned, true);
      assert.equal(machine.cordonReason, "the cloud takes it");
    });
});
