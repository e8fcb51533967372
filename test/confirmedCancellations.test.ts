import assert from "node:assert/strict";
import test from "node:test";
import { ConfirmedCancellations } from "../src/coordination/heartbeats/confirmedCancellations.js";

test("cancellations that were told are named until the leader has them, to each leader anew, and not without end", () => {
  const t = new ConfirmedCancellations(60_000);
  const at = new Date(5);
  assert.deepEqual(
    [t.add("job-1", at, 0), t.add("job-2", at, 10), t.add("job-1", at, 20)],
    [true, true, false],
  );
  const names = (nowMs: number): string[] => t.nextUpdate(nowMs).cancellations.map((x) => x.id);
  assert.deepEqual(
    [names(30), t.nextUpdate(30).cancellationSeq, t.nextUpdate(30).cancellationsComplete],
    [["job-1", "job-2"], 2, true],
  );
  t.acknowledgeUpTo(1);
  assert.deepEqual([names(40), t.nextUpdate(40).cancellationSeq], [["job-2"], 2]);
  t.acknowledgeUpTo(2);
  assert.deepEqual([names(50), t.nextUpdate(50).cancellationSeq], [[], 2]);
  t.beginTerm();
  assert.deepEqual(names(60), ["job-1", "job-2"], "the next leader");
  t.expire(60_005);
  assert.deepEqual(names(60_005), ["job-2"], "whoever has not heard of it by then has let its leases end");
  for (let i = 10; i < 5000; i++) t.add(`job-${i}`, at, 61_000);
  assert.equal(t.nextUpdate(61_000).cancellationsComplete, false, "more than a frame holds");
  t.acknowledgeUpTo(t.nextUpdate(61_000).cancellationSeq + 10_000);
  assert.deepEqual(
    [t.nextUpdate(61_000).cancellations, t.nextUpdate(61_000).cancellationsComplete],
    [[], false],
    "some were dropped unsaid",
  );
  t.expire(200_000);
  assert.equal(t.nextUpdate(200_000).cancellationsComplete, true);
});
