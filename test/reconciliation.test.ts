import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Attempt, Machine } from "../src/bookkeeping/workload.js";
import type { ExitCause, JobKind, TaskStatus } from "../src/protocol/model.js";
import { FIRST_TOKEN, taskStatusOf, LeaderTermFixture } from "./fakes/leaderTermFixture.js";

/** The state of an attempt after reconciliation: it holds its resources, its start is due (again), or it is gone. */
function outcomeOf(attempt: Attempt): "kept" | "start due" | "gone" {
  if (!attempt.machine.attempts.has(attempt)) return "gone";
  return attempt.sentToken < 0 && !attempt.isInherited ? "start due" : "kept";
}

describe("an attempt that the newest heartbeat does not list", () => {
  const inherited = { isInherited: true, sentToken: -1, sentEpoch: 0 };
  const cases: {
    name: string;
    attempt?: Partial<Attempt>;
    machine?: Partial<Machine>;
    sinceSentMs?: number;
    outcome: ReturnType<typeof outcomeOf>;
    raisesToken: boolean;
  }[] = [
    {
      name: "is kept right after its start was sent, which may be in flight",
      outcome: "kept",
      raisesToken: false,
    },
    {
      name: "is kept if it was never listed, even long after its start was sent",
      sinceSentMs: 5000,
      outcome: "kept",
      raisesToken: false,
    },
    {
      name: "is kept and needs a higher token if it was listed before and no higher token was sent",
      attempt: { phase: "running" },
      sinceSentMs: 1001,
      outcome: "kept",
      raisesToken: true,
    },
    {
      name: "is kept if it was listed before and its start was sent within the last second",
      attempt: { phase: "running" },
      sinceSentMs: 1000,
      outcome: "kept",
      raisesToken: false,
    },
    {
      name: "is kept if it was listed before and a higher token is already in flight",
      attempt: { phase: "running" },
      machine: { fencingToken: FIRST_TOKEN + 1 },
      sinceSentMs: 5000,
      outcome: "kept",
      raisesToken: false,
    },
    {
      name: "has its start due again if it was never listed and the worker has seen a higher token",
      machine: { seenToken: FIRST_TOKEN + 1 },
      outcome: "start due",
      raisesToken: false,
    },
    {
      name: "is gone if it was listed before and the worker has seen a higher token",
      attempt: { phase: "running" },
      machine: { seenToken: FIRST_TOKEN + 1 },
      outcome: "gone",
      raisesToken: false,
    },
    {
      name: "is gone if it is being stopped and the worker has seen a higher token",
      attempt: { stop: { sinceMs: 0, graceS: 0, isSent: true, lastSentMs: 0 } },
      machine: { seenToken: FIRST_TOKEN + 1 },
      outcome: "gone",
      raisesToken: false,
    },
    {
      name: "is gone if its start was sent in an earlier epoch of the worker",
      machine: { epoch: 2 },
      outcome: "gone",
      raisesToken: false,
    },
    {
      name: "is gone if an earlier leader planned it and the worker has seen this term's token",
      attempt: inherited,
      outcome: "gone",
      raisesToken: false,
    },
    {
      name: "is kept if an earlier leader planned it and the worker has not seen this term's token",
      attempt: inherited,
      machine: { seenToken: FIRST_TOKEN - 1 },
      outcome: "kept",
      raisesToken: false,
    },
    {
      name: "has its start due if the start was never sent",
      attempt: { sentToken: -1, sentEpoch: 0 },
      machine: { seenToken: FIRST_TOKEN + 9, epoch: 9 },
      outcome: "start due",
      raisesToken: false,
    },
  ];
  for (const { name, sinceSentMs = 0, outcome, raisesToken, ...change } of cases)
    test(name, async () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      const attempt = term.addAttempt(term.addJob(), machine, change.attempt);
      Object.assign(machine, change.machine);
      await term.clock.advance(sinceSentMs);
      assert.equal(term.reconciliation.reconcile(machine), raisesToken);
      assert.equal(outcomeOf(attempt), outcome);
    });
});

describe("an attempt that the newest heartbeat lists as exited", () => {
  const cases: {
    cause: ExitCause;
    isDone?: boolean;
    failures?: number;
    avoidedForMs?: number;
    pausedForMs?: number;
  }[] = [
    { cause: "done", isDone: true },
    { cause: "error", failures: 1, avoidedForMs: 60_000, pausedForMs: 100 },
    { cause: "no_room", avoidedForMs: 2000 },
    { cause: "in_use", avoidedForMs: 3000 },
    { cause: "unknown", pausedForMs: 1000 },
    { cause: "stopped" },
    { cause: "peers" },
    { cause: "incomplete" },
    { cause: "other" },
  ];
  for (const { cause, isDone = false, failures = 0, avoidedForMs, pausedForMs } of cases)
    test(`is gone, with cause ${cause}`, () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      const job = term.addJob();
      const attempt = term.addAttempt(job, machine);
      machine.reportedTasks = [taskStatusOf(attempt, { phase: "exited", cause })];
      term.reconciliation.reconcile(machine);
      const nowMs = term.clock.nowMs();
      assert.equal(outcomeOf(attempt), "gone");
      assert.equal(job.isDone(0), isDone);
      assert.equal(job.failureCount, failures);
      assert.equal(job.avoidedUntilMs.get(machine.name), avoidedForMs && nowMs + avoidedForMs);
      assert.equal(job.backOffUntilMs, pausedForMs === undefined ? 0 : nowMs + pausedForMs);
    });
});

test("the retry delay of a job that fails repeatedly doubles up to a maximum", () => {
  const pauses: [failuresBefore: number, pauseMs: number][] = [
    [0, 100],
    [1, 100],
    [2, 200],
    [3, 400],
    [8, 12_800],
    [9, 15_000],
    [500, 15_000],
  ];
  for (const [failuresBefore, pauseMs] of pauses) {
    const term = new LeaderTermFixture();
    const machine = term.createMachine();
    const job = term.addJob();
    job.failureCount = failuresBefore;
    const attempt = term.addAttempt(job, machine);
    machine.reportedTasks = [taskStatusOf(attempt, { phase: "exited", cause: "error" })];
    term.reconciliation.reconcile(machine);
    assert.equal(job.backOffUntilMs - term.clock.nowMs(), pauseMs, `after ${failuresBefore} failures`);
  }
});

test("an inherited attempt that is listed is adopted by this term, with a sent token just below the first token of the term", () => {
  const term = new LeaderTermFixture();
  const machine = term.createMachine();
  const attempt = term.addAttempt(term.addJob(), machine, { isInherited: true, sentToken: -1, sentEpoch: 0 });
  machine.reportedTasks = [taskStatusOf(attempt, { phase: "running" })];
  assert.equal(term.reconciliation.reconcile(machine), false);
  const { isInherited, sentToken, sentEpoch, phase, runningMs } = attempt;
  assert.deepEqual(
    { isInherited, sentToken, sentEpoch, phase, runningMs },
    {
      isInherited: false,
      sentToken: FIRST_TOKEN - 1,
      sentEpoch: 1,
      phase: "running",
      runningMs: term.clock.nowMs(),
    },
  );
});

// Guards against docs/incidents/zone-with-a-space.md: a record names a machine that was read under another name.
describe("an attempt of an earlier leader whose record names another machine than the one that lists it", () => {
  const cases: {
    name: string;
    kind?: JobKind;
    isNameConfirmed?: boolean;
    isInherited?: boolean;
    status?: Partial<TaskStatus>;
    outcome: "moved" | "not moved" | "gone";
  }[] = [
    { name: "is moved if only the record names that machine", outcome: "moved" },
    { name: "is moved with its exit", status: { phase: "exited", cause: "stopped" }, outcome: "gone" },
    {
      name: "stays if a worker or the cloud has named that machine",
      isNameConfirmed: true,
      outcome: "not moved",
    },
    { name: "stays if it has another number", status: { attempt: 7 }, outcome: "not moved" },
    {
      name: "stays if it is a member of a gang, whose replacement has its number",
      kind: "gang",
      outcome: "not moved",
    },
    { name: "stays if this leader has planned it", isInherited: false, outcome: "not moved" },
  ];
  for (const { name, kind = "array", isNameConfirmed = false, isInherited = true, status, outcome } of cases)
    test(name, () => {
      const term = new LeaderTermFixture();
      const recorded = Object.assign(term.createMachine("host"), { isNameConfirmed });
      const listing = term.createMachine("host 1");
      const inherited = { isInherited, sentToken: -1, sentEpoch: 0 };
      const job = term.addJob({ kind });
      const attempt = term.addAttempt(job, recorded, inherited);
      listing.reportedTasks = [taskStatusOf(attempt, status)];
      term.reconciliation.reconcile(listing);
      assert.equal(recorded.attempts.size, outcome === "not moved" ? 1 : 0);
      assert.equal(listing.attempts.size, outcome === "moved" ? 1 : 0);
      assert.equal(attempt.machine, outcome === "not moved" ? recorded : listing);
      assert.equal(attempt.isInherited, isInherited && outcome !== "moved");
      assert.equal(job.getOrCreateChunk(0).isDirty, outcome !== "not moved");
    });
});

test("a listed attempt of a cancelled job is stopped without a grace period", () => {
  const term = new LeaderTermFixture();
  const machine = term.createMachine();
  const job = term.addJob();
  const attempt = term.addAttempt(job, machine);
  job.cancelledAt = new Date(0);
  machine.reportedTasks = [taskStatusOf(attempt)];
  term.reconciliation.reconcile(machine);
  assert.equal(attempt.stop?.graceS, 0);
  assert.deepEqual(term.commandRequests, ["host-1"]);
});

describe("a listed result of an attempt that has been replaced", () => {
  const done: Partial<TaskStatus> = { phase: "exited", cause: "done" };
  const cases: { name: string; status: Partial<TaskStatus>; hasOtherAttempt: boolean; isDone: boolean }[] = [
    {
      name: "marks the task as done when the task has no other attempt",
      status: done,
      hasOtherAttempt: false,
      isDone: true,
    },
    {
      name: "is ignored while the task has another attempt",
      status: done,
      hasOtherAttempt: true,
      isDone: false,
    },
    {
      name: "is ignored when it is a failure",
      status: { phase: "exited", cause: "error" },
      hasOtherAttempt: false,
      isDone: false,
    },
  ];
  for (const { name, status, hasOtherAttempt, isDone } of cases)
    test(name, () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      const job = term.addJob();
      const replaced = term.addAttempt(job, machine);
      term.attempts.confirmGone(replaced);
      if (hasOtherAttempt) term.addAttempt(job, term.createMachine("host-2"));
      machine.reportedTasks = [taskStatusOf(replaced, status)];
      term.reconciliation.reconcile(machine);
      assert.equal(job.isDone(0), isDone);
    });
});

test("all other members of a gang are stopped when one member fails", () => {
  const term = new LeaderTermFixture();
  const job = term.addJob({ kind: "gang" });
  const [first, second] = [term.createMachine(), term.createMachine("host-2")];
  const failed = term.addAttempt(job, first);
  const other = term.addAttempt(job, second, { task: 1, phase: "running" });
  first.reportedTasks = [taskStatusOf(failed, { phase: "exited", cause: "incomplete" })];
  term.reconciliation.reconcile(first);
  assert.equal(outcomeOf(failed), "gone");
  assert.equal(other.stop?.graceS, 0);
  assert.deepEqual(term.commandRequests, ["host-2"]);
});
