import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Attempt, Machine } from "../src/bookkeeping/workload.js";
import type { ExitCause, TaskStatus } from "../src/protocol/model.js";
import { FIRST_TOKEN, listed, MachineTerm } from "./fakes/machineTerm.js";

/** What became of an attempt: it still holds its place, its start is due once more, or it is gone. */
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
    { name: "was sent a moment ago: its start may be under way", outcome: "kept", raisesToken: false },
    { name: "was sent long ago, and never listed", sinceSentMs: 5000, outcome: "kept", raisesToken: false },
    {
      name: "was listed before, and its token has not been exceeded",
      attempt: { phase: "running" },
      sinceSentMs: 1001,
      outcome: "kept",
      raisesToken: true,
    },
    {
      name: "was listed before, and was sent a moment ago",
      attempt: { phase: "running" },
      sinceSentMs: 1000,
      outcome: "kept",
      raisesToken: false,
    },
    {
      name: "was listed before, and a higher token is under way already",
      attempt: { phase: "running" },
      machine: { fencingToken: FIRST_TOKEN + 1 },
      sinceSentMs: 5000,
      outcome: "kept",
      raisesToken: false,
    },
    {
      name: "was never listed, and the worker has seen a higher token",
      machine: { seenToken: FIRST_TOKEN + 1 },
      outcome: "start due",
      raisesToken: false,
    },
    {
      name: "was listed before, and the worker has seen a higher token",
      attempt: { phase: "running" },
      machine: { seenToken: FIRST_TOKEN + 1 },
      outcome: "gone",
      raisesToken: false,
    },
    {
      name: "is to be stopped, and the worker has seen a higher token",
      attempt: { stop: { sinceMs: 0, graceS: 0, isSent: true, lastSentMs: 0 } },
      machine: { seenToken: FIRST_TOKEN + 1 },
      outcome: "gone",
      raisesToken: false,
    },
    {
      name: "was sent in an earlier epoch of the worker",
      machine: { epoch: 2 },
      outcome: "gone",
      raisesToken: false,
    },
    {
      name: "is of an earlier leader, and the worker has seen this term's token",
      attempt: inherited,
      outcome: "gone",
      raisesToken: false,
    },
    {
      name: "is of an earlier leader, and the worker has not seen this term's token",
      attempt: inherited,
      machine: { seenToken: FIRST_TOKEN - 1 },
      outcome: "kept",
      raisesToken: false,
    },
    {
      name: "was never sent",
      attempt: { sentToken: -1, sentEpoch: 0 },
      machine: { seenToken: FIRST_TOKEN + 9, epoch: 9 },
      outcome: "start due",
      raisesToken: false,
    },
  ];
  for (const { name, sinceSentMs = 0, outcome, raisesToken, ...change } of cases)
    test(name, async () => {
      const term = new MachineTerm();
      const machine = term.machine();
      const attempt = term.attempt(term.job(), machine, change.attempt);
      Object.assign(machine, change.machine);
      await term.clock.advance(sinceSentMs);
      assert.equal(term.reconciliation.reconcile(machine), raisesToken);
      assert.equal(outcomeOf(attempt), outcome);
    });
});

describe("an attempt that the newest heartbeat lists as exited is gone", () => {
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
    test(`with cause ${cause}`, () => {
      const term = new MachineTerm();
      const machine = term.machine();
      const job = term.job();
      const attempt = term.attempt(job, machine);
      machine.listedTasks = [listed(attempt, { phase: "exited", cause })];
      term.reconciliation.reconcile(machine);
      const nowMs = term.clock.nowMs();
      assert.equal(outcomeOf(attempt), "gone");
      assert.equal(job.isDone(0), isDone);
      assert.equal(job.failureCount, failures);
      assert.equal(job.avoidedUntilMs.get(machine.name), avoidedForMs && nowMs + avoidedForMs);
      assert.equal(job.notBeforeMs, pausedForMs === undefined ? 0 : nowMs + pausedForMs);
    });
});

test("a job that fails again and again pauses for longer, up to a bound", () => {
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
    const term = new MachineTerm();
    const machine = term.machine();
    const job = term.job();
    job.failureCount = failuresBefore;
    const attempt = term.attempt(job, machine);
    machine.listedTasks = [listed(attempt, { phase: "exited", cause: "error" })];
    term.reconciliation.reconcile(machine);
    assert.equal(job.notBeforeMs - term.clock.nowMs(), pauseMs, `after ${failuresBefore} failures`);
  }
});

test("an attempt of an earlier leader that is listed belongs to this term, under a token below its first", () => {
  const term = new MachineTerm();
  const machine = term.machine();
  const attempt = term.attempt(term.job(), machine, { isInherited: true, sentToken: -1, sentEpoch: 0 });
  machine.listedTasks = [listed(attempt, { phase: "running" })];
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

test("an attempt of a cancelled job that is listed is stopped at once", () => {
  const term = new MachineTerm();
  const machine = term.machine();
  const job = term.job();
  const attempt = term.attempt(job, machine);
  job.cancelledAt = new Date(0);
  machine.listedTasks = [listed(attempt)];
  term.reconciliation.reconcile(machine);
  assert.equal(attempt.stop?.graceS, 0);
  assert.deepEqual(term.commandRequests, ["host-1"]);
});

describe("a listed result of an attempt that has been replaced", () => {
  const done: Partial<TaskStatus> = { phase: "exited", cause: "done" };
  const cases: { name: string; status: Partial<TaskStatus>; hasOtherAttempt: boolean; isDone: boolean }[] = [
    { name: "counts when the task has no other attempt", status: done, hasOtherAttempt: false, isDone: true },
    {
      name: "does not count while the task has another one",
      status: done,
      hasOtherAttempt: true,
      isDone: false,
    },
    {
      name: "does not count when it failed",
      status: { phase: "exited", cause: "error" },
      hasOtherAttempt: false,
      isDone: false,
    },
  ];
  for (const { name, status, hasOtherAttempt, isDone } of cases)
    test(name, () => {
      const term = new MachineTerm();
      const machine = term.machine();
      const job = term.job();
      const replaced = term.attempt(job, machine);
      term.attempts.confirmGone(replaced);
      if (hasOtherAttempt) term.attempt(job, term.machine("host-2"));
      machine.listedTasks = [listed(replaced, status)];
      term.reconciliation.reconcile(machine);
      assert.equal(job.isDone(0), isDone);
    });
});

test("a gang whose member failed is stopped whole", () => {
  const term = new MachineTerm();
  const job = term.job({ kind: "gang" });
  const [first, second] = [term.machine(), term.machine("host-2")];
  const failed = term.attempt(job, first);
  const other = term.attempt(job, second, { task: 1, phase: "running" });
  first.listedTasks = [listed(failed, { phase: "exited", cause: "incomplete" })];
  term.reconciliation.reconcile(first);
  assert.equal(outcomeOf(failed), "gone");
  assert.equal(other.stop?.graceS, 0);
  assert.deepEqual(term.commandRequests, ["host-2"]);
});
