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
      name: "same token: the start command may still be on its way",
      start: own,
      heartbeat: { epoch: 2, fencingToken: 100 },
      isProof: false,
    },
    { name: "lower token", start: own, heartbeat: { epoch: 2, fencingToken: 99 }, isProof: false },
    {
      name: "a higher token refuses the start command",
      start: own,
      heartbeat: { epoch: 2, fencingToken: 101 },
      isProof: true,
    },
    {
      name: "a later epoch refuses the start command",
      start: own,
      heartbeat: { epoch: 3, fencingToken: 100 },
      isProof: true,
    },
    {
      name: "never sent: nothing to prove",
      start: { ...own, sentToken: -1 },
      heartbeat: { epoch: 9, fencingToken: 999 },
      isProof: false,
    },
    {
      name: "an earlier leader's start, before the worker has seen a token of this term",
      start: inherited,
      heartbeat: { epoch: 9, fencingToken: 49 },
      isProof: false,
    },
    {
      name: "an earlier leader's start, once the worker has seen a token of this term",
      start: inherited,
      heartbeat: { epoch: 2, fencingToken: 50 },
      isProof: true,
    },
  ];
  for (const { name, start, heartbeat, isProof } of cases)
    test(name, () => assert.equal(absenceProvesTaskGone(start, heartbeat, FIRST_TOKEN_OF_TERM), isProof));
});

test("a worker's lease is counted as expired later than its length, for the clocks may drift", () => {
  assert.ok(leaseExpiredFromMs(1000, 14) > 15_000 * 1.0005);
  assert.equal(leaseExpiredFromMs(Infinity, 14), Infinity);
});

describe("a lease has expired only when nobody can have renewed it, whoever serves the worker", () => {
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
    { name: "only the leader serves", servers: [], expiredFromMs: expiredMs },
    {
      name: "a server whose grant ended before the last acknowledgement",
      servers: [failed],
      expiredFromMs: expiredMs,
    },
    {
      name: "a server all of whose acknowledgements up to then are known",
      servers: [serving],
      expiredFromMs: expiredMs,
    },
    {
      name: "a server that is silent since, with a grant",
      servers: [{ ...serving, acknowledgementsKnownUntilMs: expiredMs - 1 }],
      expiredFromMs: leaseExpiredFromMs(99_000, LEASE_S),
    },
    {
      name: "a server that failed: its grant may have been used to the end",
      servers: [{ ...failed, grantUntilMs: 2500 }],
      expiredFromMs: leaseExpiredFromMs(2500, LEASE_S),
    },
    {
      name: "a server some of whose updates were lost",
      servers: [{ ...serving, acknowledgementsKnownUntilMs: 50_000, acknowledgementsUnknownBeforeMs: 4000 }],
      expiredFromMs: leaseExpiredFromMs(4000, LEASE_S),
    },
    {
      name: "one that failed moves the time span past what is known of another",
      servers: [serving, { ...failed, grantUntilMs: 2500 }],
      expiredFromMs: leaseExpiredFromMs(99_000, LEASE_S),
    },
  ];
  for (const { name, servers, expiredFromMs } of cases)
    test(name, () =>
      assert.equal(leaseExpiredEverywhereFromMs(LAST_ACK_MS, servers, LEASE_S), expiredFromMs),
    );
});
