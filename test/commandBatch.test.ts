import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Attempt, Job } from "../src/bookkeeping/workload.js";
import { composeCommandBatch } from "../src/coordination/commands/commandBatch.js";
import { FIRST_TOKEN, taskStatusOf, LeaderTermFixture } from "./fakes/leaderTermFixture.js";
import type { TaskStatus } from "../src/protocol/model.js";

const NOT_SENT = { sentToken: -1, sentEpoch: 0, sentMs: -Infinity };

describe("an attempt's start command", () => {
  const cases: {
    name: string;
    attempt: Partial<Attempt>;
    epoch?: number;
    sinceSentMs?: number;
    isSent: boolean;
  }[] = [
    { name: "is sent once the attempt is durable", attempt: NOT_SENT, isSent: true },
    {
      name: "is not sent before the attempt is durable",
      attempt: { ...NOT_SENT, isDurable: false },
      isSent: false,
    },
    {
      name: "is not sent for an attempt inherited from an earlier leader",
      attempt: { ...NOT_SENT, isInherited: true },
      isSent: false,
    },
    {
      name: "is not sent for an attempt that the worker lists",
      attempt: { phase: "fetching" },
      sinceSentMs: 9000,
      isSent: false,
    },
    { name: "is not repeated within its retry interval", attempt: {}, sinceSentMs: 1199, isSent: false },
    { name: "is repeated after its retry interval", attempt: {}, sinceSentMs: 1200, isSent: true },
    {
      name: "is not repeated in another epoch of the worker",
      attempt: {},
      epoch: 2,
      sinceSentMs: 9000,
      isSent: false,
    },
  ];
  for (const { name, attempt: change, epoch = 1, sinceSentMs = 0, isSent } of cases)
    test(name, async () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      const attempt = term.addAttempt(term.addJob(), machine, change);
      machine.epoch = epoch;
      await term.clock.advance(sinceSentMs);
      const nowMs = term.clock.nowMs();
      const batch = composeCommandBatch(machine, term.jobs.byId, nowMs, {
        includeStarts: true,
        raiseToken: false,
      });
      const start = { op: "start", jobId: "job-1", task: 0, attempt: attempt.number };
      assert.deepEqual(batch, { fencingToken: FIRST_TOKEN, commands: isSent ? [start] : [] });
      if (!isSent) return;
      assert.deepEqual([attempt.sentToken, attempt.sentEpoch, attempt.sentMs], [FIRST_TOKEN, epoch, nowMs]);
      assert.equal(machine.lastStartToken, FIRST_TOKEN);
    });

  test("is not sent while starts are not allowed", () => {
    const term = new LeaderTermFixture();
    const machine = term.createMachine();
    const attempt = term.addAttempt(term.addJob(), machine, NOT_SENT);
    const options = { includeStarts: false, raiseToken: false };
    const batch = composeCommandBatch(machine, term.jobs.byId, term.clock.nowMs(), options);
    assert.deepEqual(batch.commands, []);
    assert.equal(attempt.sentToken, -1);
  });
});

describe("an attempt's stop command", () => {
  const sinceMs = 0;
  const cases: { name: string; sentMsAgo: number | null; attempt?: Partial<Attempt>; isSent: boolean }[] = [
    { name: "is sent when the attempt has a stop request", sentMsAgo: null, isSent: true },
    { name: "is not repeated within its retry interval", sentMsAgo: 599, isSent: false },
    { name: "is repeated after its retry interval", sentMsAgo: 600, isSent: true },
    {
      name: "is not sent when the start was never sent",
      sentMsAgo: null,
      attempt: NOT_SENT,
      isSent: false,
    },
    {
      name: "is sent when an earlier leader may have sent the start",
      sentMsAgo: null,
      attempt: { ...NOT_SENT, isInherited: true },
      isSent: true,
    },
  ];
  for (const { name, sentMsAgo, attempt: change, isSent } of cases)
    test(name, () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      const nowMs = term.clock.nowMs();
      const lastSentMs = sentMsAgo === null ? -Infinity : nowMs - sentMsAgo;
      const stop = { sinceMs, graceS: 4, isSent: sentMsAgo !== null, lastSentMs };
      const attempt = term.addAttempt(term.addJob(), machine, { ...change, stop });
      const batch = composeCommandBatch(machine, term.jobs.byId, nowMs, {
        includeStarts: true,
        raiseToken: false,
      });
      const command = { op: "stop", jobId: "job-1", task: 0, attempt: attempt.number, graceS: 4 };
      assert.deepEqual(batch.commands, isSent ? [command] : []);
      if (isSent) assert.deepEqual(attempt.stop, { ...stop, isSent: true, lastSentMs: nowMs });
    });
});

describe("a listed task that is not a current attempt on the machine", () => {
  const done: Partial<TaskStatus> = { phase: "exited", cause: "done" };
  const failed: Partial<TaskStatus> = { phase: "exited", cause: "error" };
  const markDurable = (job: Job): void => {
    job.markDone(0);
    job.getOrCreateChunk(0).load(job.getOrCreateChunk(0).done, 1);
  };
  const cases: {
    name: string;
    status: Partial<TaskStatus>;
    prepare?: (job: Job) => void;
    op: string | null;
  }[] = [
    { name: "is stopped when it is running", status: { phase: "running" }, op: "stop" },
    { name: "is reaped when it failed", status: failed, op: "reap" },
    {
      name: "is not reaped while its result is not durable",
      status: done,
      prepare: (job) => void job.markDone(0),
      op: null,
    },
    { name: "is reaped once its result is durable", status: done, prepare: markDurable, op: "reap" },
    {
      name: "is reaped when its job is cancelled",
      status: done,
      prepare: (job) => void (job.cancelledAt = new Date(0)),
      op: "reap",
    },
    { name: "is reaped when its job is unknown", status: { ...done, jobId: "job-9" }, op: "reap" },
  ];
  for (const { name, status, prepare, op } of cases)
    test(name, () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      const job = term.addJob();
      const attempt = term.addAttempt(job, machine);
      term.attempts.confirmGone(attempt);
      prepare?.(job);
      machine.reportedTasks = [taskStatusOf(attempt, status)];
      const options = { includeStarts: true, raiseToken: false };
      const { commands } = composeCommandBatch(machine, term.jobs.byId, term.clock.nowMs(), options);
      assert.deepEqual(
        commands.map((command) => command.op),
        op === null ? [] : [op],
      );
    });
});

describe("the fencing token of a batch", () => {
  const cases: {
    name: string;
    lastStartToken: number;
    reaps: boolean;
    raiseToken: boolean;
    token: number;
  }[] = [
    {
      name: "is unchanged without reaps",
      lastStartToken: FIRST_TOKEN,
      reaps: false,
      raiseToken: false,
      token: FIRST_TOKEN,
    },
    {
      name: "is raised above that of earlier starts when the batch reaps",
      lastStartToken: FIRST_TOKEN,
      reaps: true,
      raiseToken: false,
      token: FIRST_TOKEN + 1,
    },
    {
      name: "is unchanged when the batch reaps and no start was sent under this token",
      lastStartToken: FIRST_TOKEN - 1,
      reaps: true,
      raiseToken: false,
      token: FIRST_TOKEN,
    },
    {
      name: "is raised on request",
      lastStartToken: -1,
      reaps: false,
      raiseToken: true,
      token: FIRST_TOKEN + 1,
    },
    {
      name: "is raised above that of earlier starts on request",
      lastStartToken: FIRST_TOKEN + 4,
      reaps: false,
      raiseToken: true,
      token: FIRST_TOKEN + 5,
    },
  ];
  for (const { name, lastStartToken, reaps, raiseToken, token } of cases)
    test(name, () => {
      const term = new LeaderTermFixture();
      const machine = term.createMachine();
      const job = term.addJob();
      const exited = term.addAttempt(job, machine);
      term.attempts.confirmGone(exited);
      const next = term.addAttempt(job, machine, { ...NOT_SENT, task: 1 });
      machine.lastStartToken = lastStartToken;
      if (reaps) machine.reportedTasks = [taskStatusOf(exited, { phase: "exited", cause: "error" })];
      const options = { includeStarts: true, raiseToken };
      const batch = composeCommandBatch(machine, term.jobs.byId, term.clock.nowMs(), options);
      assert.equal(batch.fencingToken, token);
      assert.equal(next.sentToken, token, "starts in the same batch carry the raised token");
    });
});
