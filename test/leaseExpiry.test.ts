import assert from "node:assert/strict";
import test from "node:test";
import { decodeLeadership } from "../src/coordination/leadership/leadershipRecord.js";
import { mayConfirmExtension } from "../src/coordination/leadership/leaseExtension.js";
import { isMajority } from "../src/coordination/leadership/quorum.js";
import { acknowledgementLimitMs, longestZoneLeaseMs } from "../src/coordination/term/acknowledgementLimit.js";
import { CLOCK_DRIFT } from "../src/coordination/term/clockDrift.js";
import { firstFencingToken, TOKENS_PER_TERM } from "../src/coordination/term/fencingTokens.js";
import { leadershipLeaseUntilMs } from "../src/coordination/term/leadershipLease.js";
import {
  absenceProvesTaskGone,
  leaseExpiredEverywhereFromMs,
  leaseExpiredFromMs,
} from "../src/coordination/term/leaseProofs.js";

test("absence from a report proves a task gone only behind a higher token or session", () => {
  const mine = { sentToken: 100, sentEpoch: 2, isInherited: false };
  const old = { sentToken: -1, sentEpoch: 0, isInherited: true };
  const cases: [string, typeof mine, { epoch: number; fencingToken: number }, boolean][] = [
    ["same token: the start may still be on its way", mine, { epoch: 2, fencingToken: 100 }, false],
    ["lower token", mine, { epoch: 2, fencingToken: 99 }, false],
    ["a higher token refuses the start", mine, { epoch: 2, fencingToken: 101 }, true],
    ["a later session refuses the start", mine, { epoch: 3, fencingToken: 100 }, true],
    ["never sent: nothing to prove", { ...mine, sentToken: -1 }, { epoch: 9, fencingToken: 999 }, false],
    ["an earlier leader's, before our token is seen", old, { epoch: 9, fencingToken: 49 }, false],
    ["an earlier leader's, once our token is seen", old, { epoch: 2, fencingToken: 50 }, true],
  ];
  for (const [name, start, report, want] of cases)
    assert.equal(absenceProvesTaskGone(start, report, 50), want, name);
});

test("tokens: a later term's are all higher, and exact", () => {
  for (const term of [1, 2, 1000, 2 ** 28]) {
    assert.ok(firstFencingToken(term) + TOKENS_PER_TERM - 1 < firstFencingToken(term + 1));
    assert.ok(Number.isSafeInteger(firstFencingToken(term + 1)));
  }
});

test("times: our hold ends early, a worker's lease ends late", () => {
  assert.ok(leadershipLeaseUntilMs(1000, 3000) < 4000);
  assert.ok(leaseExpiredFromMs(1000, 14) > 15_000 * 1.0005);
  assert.equal(leaseExpiredFromMs(Infinity, 14), Infinity);
});

test("extensions: confirmed only by those who are refused too and know of no later term", () => {
  const base = {
    nowMs: 10_000,
    hasReadLeadership: true,
    lastServedSentMs: 8000,
    lastRefusedMs: 9500,
    knownTerm: 3,
    requestedTerm: 3,
  };
  const cases: [string, Partial<typeof base>, boolean][] = [
    ["refused lately", {}, true],
    ["restarted, and has read nothing", { hasReadLeadership: false }, false],
    ["knows of a later term", { knownTerm: 4 }, false],
    ["served after it was refused", { lastServedSentMs: 9600 }, false],
    ["refused too long ago to say", { lastRefusedMs: 8100 }, false],
    ["never refused", { lastRefusedMs: -Infinity }, false],
  ];
  for (const [name, change, want] of cases)
    assert.equal(mayConfirmExtension({ ...base, ...change }), want, name);
  for (const [yes, size, want] of [
    [1, 1, true],
    [1, 2, false],
    [1, 3, false],
    [2, 3, true],
    [2, 4, false],
  ] as const) {
    assert.equal(isMajority(yes, size), want, `${yes} of ${size}`);
  }
});

test("the records of leadership are read as a whole", () => {
  const view = decodeLeadership(
    [
      { key: "lead/hold", value: { n: 4, node: "n1", life: "x", lease: 9 }, version: 12 },
      { key: "lead/term", value: { n: 4, node: "n1" }, version: 11 },
    ],
    12,
  );
  assert.deepEqual(view, {
    revision: 12,
    termVersion: 11,
    term: 4,
    record: { term: 4, node: "n1", incarnation: "x", leaseId: 9 },
  });
  assert.deepEqual(decodeLeadership([], 9), { revision: 9, termVersion: 0, term: 0, record: null });
});

test("a lease is over only when nobody can have renewed it, whoever serves the worker", () => {
  const lease = 10;
  const over = leaseExpiredFromMs(1000, lease);
  const gone = {
    grantUntilMs: 900,
    acknowledgementsKnownUntilMs: 500,
    acknowledgementsUnknownBeforeMs: -Infinity,
  };
  const alive = {
    grantUntilMs: 99_000,
    acknowledgementsKnownUntilMs: over,
    acknowledgementsUnknownBeforeMs: -Infinity,
  };
  const cases: [string, Parameters<typeof leaseExpiredEverywhereFromMs>[1], number][] = [
    ["only the leader serves", [], over],
    ["a server whose grant ended before the last answer", [gone], over],
    ["a server that has told all up to then", [alive], over],
    [
      "a server that is silent since, with a grant",
      [{ ...alive, acknowledgementsKnownUntilMs: over - 1 }],
      leaseExpiredFromMs(99_000, lease),
    ],
    [
      "a server that died: its grant may have been used to the end",
      [{ ...gone, grantUntilMs: 2500 }],
      leaseExpiredFromMs(2500, lease),
    ],
    [
      "a server some of whose words were lost",
      [{ ...alive, acknowledgementsKnownUntilMs: 50_000, acknowledgementsUnknownBeforeMs: 4000 }],
      leaseExpiredFromMs(4000, lease),
    ],
    [
      "one that died moves the stretch past what another has told",
      [alive, { ...gone, grantUntilMs: 2500 }],
      leaseExpiredFromMs(99_000, lease),
    ],
  ];
  for (const [name, servers, want] of cases)
    assert.equal(leaseExpiredEverywhereFromMs(1000, servers, lease), want, name);
});

test("the right to acknowledge leaves a cancellation that we may not know of a lease; a zone is given for no longer", () => {
  const cases: [number, number, number][] = [
    [37, 12, 23_900],
    [40.25, 15.25, 23_900],
    [25, 8, 15_900],
    [14, 12, 900],
    [5, 8, -4100],
  ];
  for (const [cancelS, leaseS, want] of cases) {
    const ms = acknowledgementLimitMs(70_000, cancelS, leaseS) - 70_000;
    assert.ok(ms >= want && ms <= want + 100, `${cancelS} s, ${leaseS} s: ${ms}`);
    // The worker's clock and ours may both be slow, and half a second is left for what is late.
    assert.ok(
      (ms * (1 + CLOCK_DRIFT)) / 1000 + leaseS * (1 + CLOCK_DRIFT) + 0.5 < cancelS * (1 - CLOCK_DRIFT),
    );
    assert.equal(
      longestZoneLeaseMs(cancelS, leaseS),
      want < 3000 ? 0 : Math.floor(acknowledgementLimitMs(0, cancelS, leaseS)),
    );
  }
});
