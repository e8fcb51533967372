import assert from "node:assert/strict";
import test from "node:test";
import { ConfirmedCancellations } from "../src/coordination/heartbeats/confirmedCancellations.js";
import { HeartbeatUpdates } from "../src/coordination/heartbeats/heartbeatUpdates.js";
import type { ServedWorker } from "../src/coordination/heartbeats/servedWorkers.js";
import type { Heartbeat, TaskStatus } from "../src/protocol/model.js";

const TERM = 4;

function worker(machine: string, taskCount = 0, receivedMs = 1000): ServedWorker {
  const task: TaskStatus = {
    jobId: "j",
    task: 0,
    attempt: 1,
    phase: "running",
    cause: null,
    checkpointSaved: false,
  };
  const heartbeat: Heartbeat = {
    machine,
    address: "10.1.0.1:9000",
    type: "g8",
    zone: "a",
    spot: false,
    epoch: 2,
    tick: 9,
    fencingToken: 5,
    interruptionNoticeS: null,
    tasks: Array.from({ length: taskCount }, () => task),
  };
  return { heartbeat, receivedMs };
}

function newUpdates(): { updates: HeartbeatUpdates; cancellations: ConfirmedCancellations } {
  const cancellations = new ConfirmedCancellations(60_000);
  const updates = new HeartbeatUpdates({ node: "n1", incarnation: 7, cancellations, lagMs: () => 1.6 });
  return { updates, cancellations };
}

test("an empty update is still sent, as the request for a grant", () => {
  const { updates } = newUpdates();
  updates.recordGrant(900);
  assert.deepEqual(updates.takeUpdates(TERM, 3, 1000.7), [
    {
      kind: "heartbeat server update",
      from: "n1",
      term: TERM,
      incarnation: 7,
      sequence: 1,
      lastGrantIssuedAtMs: 900,
      lastResyncIssuedAtMs: 0,
      requestedAtMs: 1000,
      workerCount: 3,
      lagMs: 2,
      unchanged: [],
      heartbeats: [],
      cancellations: [],
      cancellationSeq: 0,
      cancellationsComplete: true,
    },
  ]);
});

test("each acknowledged heartbeat is in exactly one update, in full if it brings a change", () => {
  const { updates } = newUpdates();
  const [first, second] = [worker("host-1"), worker("host-2")];
  updates.addUnchanged(first.heartbeat);
  updates.addUnchanged(second.heartbeat);
  updates.addChanged(second);
  assert.deepEqual([updates.hasPendingChange("host-1"), updates.hasPendingChange("host-2")], [false, true]);
  const [update] = updates.takeUpdates(TERM, 2, 1250.4);
  assert.deepEqual(update!.unchanged, [{ machine: "host-1", epoch: 2, tick: 9 }]);
  assert.deepEqual(update!.heartbeats, [{ ageMs: 250, heartbeat: second.heartbeat }]);
  assert.equal(updates.hasPendingChange("host-2"), false);
  const [next] = updates.takeUpdates(TERM, 2, 1300);
  assert.deepEqual([next!.sequence, next!.unchanged, next!.heartbeats], [2, [], []]);
});

test("many tasks are split over several updates, of which only the last one confirms grants and reports the rest", () => {
  const { updates, cancellations } = newUpdates();
  updates.recordGrant(900);
  assert.deepEqual([updates.acceptResync(800), updates.acceptResync(800)], [true, false]);
  cancellations.add("job-1", new Date(0), 950);
  updates.addUnchanged(worker("host-0").heartbeat);
  updates.resync([worker("host-1", 700), worker("host-2", 495), worker("host-3", 1), worker("host-4", 1200)]);
  const parts = updates.takeUpdates(TERM, 5, 1000);
  assert.deepEqual(
    parts.map((part) => part.heartbeats.map(({ heartbeat }) => heartbeat.machine)),
    [["host-1", "host-2"], ["host-3"], ["host-4"]],
  );
  assert.deepEqual(
    parts.map((part) => [part.sequence, part.lastGrantIssuedAtMs, part.lastResyncIssuedAtMs]),
    [
      [1, 0, 0],
      [2, 0, 0],
      [3, 900, 800],
    ],
  );
  assert.deepEqual(
    parts.map((part) => [part.unchanged.length, part.cancellations.length, part.cancellationsComplete]),
    [
      [0, 0, false],
      [0, 0, false],
      [1, 1, true],
    ],
  );
});

test("a new term restarts the sequence numbers and confirms no grant of an earlier leader", () => {
  const { updates } = newUpdates();
  updates.recordGrant(900);
  updates.acceptResync(800);
  updates.takeUpdates(TERM, 0, 1000);
  updates.addUnchanged(worker("host-1").heartbeat);
  updates.beginTerm();
  const [update] = updates.takeUpdates(TERM + 1, 0, 2000);
  assert.deepEqual(
    [update!.sequence, update!.lastGrantIssuedAtMs, update!.lastResyncIssuedAtMs, update!.unchanged],
    [1, 0, 0, []],
  );
});
