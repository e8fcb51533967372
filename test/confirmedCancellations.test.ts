import assert from "node:assert/strict";
import test from "node:test";
import { ConfirmedCancellations } from "../src/coordination/heartbeats/confirmedCancellations.js";

test("confirmed cancellations are sent until the leader acknowledges them, again to each new leader, and then expire", () => {
  const confirmed = new ConfirmedCancellations(60_000);
  const cancelledAt = new Date(5);
  assert.deepEqual(
    [
      confirmed.add("job-1", cancelledAt, 0),
      confirmed.add("job-2", cancelledAt, 10),
      confirmed.add("job-1", cancelledAt, 20),
    ],
    [true, true, false],
  );
  const idsSent = (nowMs: number): string[] => confirmed.nextUpdate(nowMs).cancellations.map(({ id }) => id);
  assert.deepEqual(
    [idsSent(30), confirmed.nextUpdate(30).cancellationSeq, confirmed.nextUpdate(30).cancellationsComplete],
    [["job-1", "job-2"], 2, true],
  );
  confirmed.acknowledgeUpTo(1);
  assert.deepEqual([idsSent(40), confirmed.nextUpdate(40).cancellationSeq], [["job-2"], 2]);
  confirmed.acknowledgeUpTo(2);
  assert.deepEqual([idsSent(50), confirmed.nextUpdate(50).cancellationSeq], [[], 2]);
  confirmed.beginTerm();
  assert.deepEqual(idsSent(60), ["job-1", "job-2"], "a new leader is sent all of them");
  confirmed.expire(60_005);
  assert.deepEqual(idsSent(60_005), ["job-2"], "an entry is dropped after its retention time");
  for (let number = 10; number < 5000; number++) confirmed.add(`job-${number}`, cancelledAt, 61_000);
  assert.equal(
    confirmed.nextUpdate(61_000).cancellationsComplete,
    false,
    "more entries than one update holds",
  );
  confirmed.acknowledgeUpTo(confirmed.nextUpdate(61_000).cancellationSeq + 10_000);
  assert.deepEqual(
    [confirmed.nextUpdate(61_000).cancellations, confirmed.nextUpdate(61_000).cancellationsComplete],
    [[], false],
    "entries were dropped before they were sent",
  );
  confirmed.expire(200_000);
  assert.equal(confirmed.nextUpdate(200_000).cancellationsComplete, true);
});
