import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  absenceProvesTaskGone,
  leaseExpiredEverywhereFromMs,
  leaseExpiredFromMs,
  type HeartbeatFacts,
  type HeartbeatServerFacts,
  type StartFacts,
} from "../src/coordination/term/leaseProofs.js";

describe("a task's absence from a heartbeat proves it gone only under a higher fencing token or epoch", () => {
  const FIRST_TOKEN_OF_TERM = 50;
  const own: StartFacts = { sentToken: 100, sentEpoch: 2, isInherited: false };
  const inherited: StartFacts = { sentToken: -1, sentEpoch: 0, isInherited: true };
  const cases: { name: string; start: StartFacts; heartbeat: HeartbeatFacts; isProof: boolean }[] = [
    {
      name: "no proof under the same token, as the start command may still be in flight",
      start: own,
      heartbeat: { epoch: 2, fencingToken: 100 },
      isProof: false,
    },
    {
      name: "no proof under a lower token",
      start: own,
      heartbeat: { epoch: 2, fencingToken: 99 },
      isProof: false,
    },
    {
      name: "proof under a higher token, which makes the worker refuse the start command",
      start: own,
      heartbeat: { epoch: 2, fencingToken: 101 },
      isProof: true,
    },
    {
      name: "proof in a later epoch, in which the worker refuses the start command",
      start: own,
      heartbeat: { epoch: 3, fencingToken: 100 },
      isProof: true,
    },
    {
      name: "no proof for a start command that was never sent",
      start: { ...own, sentToken: -1 },
      heartbeat: { epoch: 9, fencingToken: 999 },
      isProof: false,
    },
    {
      name: "no proof for an inherited attempt before the worker has seen a token of this term",
      start: inherited,
      heartbeat: { epoch: 9, fencingToken: 49 },
      isProof: false,
    },
    {
      name: "proof for an inherited attempt once the worker has seen a token of this term",
      start: inherited,
      heartbeat: { epoch: 2, fencingToken: 50 },
      isProof: true,
    },
  ];
  for (const { name, start, heartbeat, isProof } of cases)
    test(name, () => assert.equal(absenceProvesTaskGone(start, heartbeat, FIRST_TOKEN_OF_TERM), isProof));
});

test("a worker's lease is considered expired later than its duration, because clocks drift", () => {
  assert.ok(leaseExpiredFromMs(1000, 14) > 15_000 * 1.0005);
  assert.equal(leaseExpiredFromMs(Infinity, 14), Infinity);
});

describe("a worker's lease has expired only when no controller can have renewed it", () => {
  const LAST_ACK_MS = 1000;
  const LEASE_S = 10;
  const expiredMs = leaseExpiredFromMs(LAST_ACK_MS, LEASE_S);
  const failed: HeartbeatServerFacts = {
    grantUntilMs: 900,
    acknowledgementsKnownUntilMs: 500,
    acknowledgementsUnknownBeforeMs: -Infinity,
  };
  const serving: HeartbeatServerFacts = {
    grantUntilMs: 99_000,
    acknowledgementsKnownUntilMs: expiredMs,
    acknowledgementsUnknownBeforeMs: -Infinity,
  };
  const cases: { name: string; servers: HeartbeatServerFacts[]; expiredFromMs: number }[] = [
    { name: "the leader is the only heartbeat server", servers: [], expiredFromMs: expiredMs },
    {
      name: "a server whose grant ended before the last acknowledgement",
      servers: [failed],
      expiredFromMs: expiredMs,
    },
    {
      name: "a server whose acknowledgements up to the expiry are all known",
      servers: [serving],
      expiredFromMs: expiredMs,
    },
    {
      name: "a server with a grant whose latest acknowledgements are not known",
      servers: [{ ...serving, acknowledgementsKnownUntilMs: expiredMs - 1 }],
      expiredFromMs: leaseExpiredFromMs(99_000, LEASE_S),
    },
    {
      name: "a failed server that may have used its grant until the end",
      servers: [{ ...failed, grantUntilMs: 2500 }],
      expiredFromMs: leaseExpiredFromMs(2500, LEASE_S),
    },
    {
      name: "a server of which some updates were lost",
      servers: [{ ...serving, acknowledgementsKnownUntilMs: 50_000, acknowledgementsUnknownBeforeMs: 4000 }],
      expiredFromMs: leaseExpiredFromMs(4000, LEASE_S),
    },
    {
      name: "a failed server that moves the interval past the known acknowledgements of another",
      servers: [serving, { ...failed, grantUntilMs: 2500 }],
      expiredFromMs: leaseExpiredFromMs(99_000, LEASE_S),
    },
  ];
  for (const { name, servers, expiredFromMs } of cases)
    test(name, () =>
      assert.equal(leaseExpiredEverywhereFromMs(LAST_ACK_MS, servers, LEASE_S), expiredFromMs),
    );
});
