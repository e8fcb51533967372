/** Unit tests of the election's decisions: records, steps, extension votes, term confirmations and rights. */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decideElectionStep, type ElectionFacts } from "../src/coordination/leadership/electionStep.js";
import { KnownLeadership } from "../src/coordination/leadership/knownLeadership.js";
import {
  decodeLeadership,
  leadershipRecordChange,
  termChange,
  termVersionIfWritten,
  type LeadershipRecord,
  type LeadershipView,
} from "../src/coordination/leadership/leadershipRecord.js";
import { LeadershipRights } from "../src/coordination/leadership/leadershipRights.js";
import {
  ExtensionRequests,
  mayConfirmExtension,
  type ExtensionFacts,
} from "../src/coordination/leadership/leaseExtension.js";
import { LivenessWrites } from "../src/coordination/leadership/livenessWrites.js";
import { isMajority } from "../src/coordination/leadership/quorum.js";
import { TermConfirmation } from "../src/coordination/leadership/termConfirmation.js";
import { leadershipLeaseUntilMs } from "../src/coordination/term/leadershipLease.js";

const RECORD: LeadershipRecord = { term: 4, node: "n1", incarnation: "x", leaseId: 9 };

describe("leadership records", () => {
  test("are decoded from the keys of one read", () => {
    const view = decodeLeadership(
      [
        { key: "lead/hold", value: { n: 4, node: "n1", life: "x", lease: 9 }, version: 12 },
        { key: "lead/term", value: { n: 4, node: "n1" }, version: 11 },
      ],
      12,
    );
    assert.deepEqual(view, { revision: 12, termVersion: 11, term: 4, record: RECORD });
    assert.deepEqual(decodeLeadership([], 9), { revision: 9, termVersion: 0, term: 0, record: null });
  });

  test("are encoded in the stored format", () => {
    assert.deepEqual(termChange(RECORD), { put: "lead/term", value: { n: 4, node: "n1" } });
    assert.deepEqual(leadershipRecordChange(RECORD), {
      put: "lead/hold",
      value: { n: 4, node: "n1", life: "x", lease: 9 },
      lease: 9,
    });
  });

  const view: LeadershipView = { revision: 12, termVersion: 11, term: 4, record: RECORD };
  const readBacks: { name: string; view: LeadershipView | null; termVersion: number | null }[] = [
    { name: "the record was written", view, termVersion: 11 },
    { name: "the state store did not answer", view: null, termVersion: null },
    { name: "there is no leader", view: { ...view, record: null }, termVersion: null },
    {
      name: "another process wrote the record",
      view: { ...view, record: { ...RECORD, incarnation: "y" } },
      termVersion: null,
    },
    { name: "another term", view: { ...view, record: { ...RECORD, term: 5 } }, termVersion: null },
    { name: "another lease", view: { ...view, record: { ...RECORD, leaseId: 8 } }, termVersion: null },
  ];
  for (const readBack of readBacks)
    test(`are read back after a write of unknown outcome: ${readBack.name}`, () => {
      assert.equal(termVersionIfWritten(RECORD, readBack.view), readBack.termVersion);
    });
});

describe("after a read, a controller that does not lead", () => {
  const facts: ElectionFacts = {
    node: "n2",
    incarnation: "y",
    isLeaderSuspected: false,
    isCampaignPaused: false,
  };
  const cases: {
    name: string;
    record: LeadershipRecord | null;
    facts?: Partial<ElectionFacts>;
    step: "wait" | "campaign" | "end lease";
  }[] = [
    { name: "waits while another controller leads", record: RECORD, step: "wait" },
    { name: "campaigns when there is no leader", record: null, step: "campaign" },
    {
      name: "waits when there is no leader but it has just stepped down",
      record: null,
      facts: { isCampaignPaused: true },
      step: "wait",
    },
    {
      name: "ends the lease of a suspected leader",
      record: RECORD,
      facts: { isLeaderSuspected: true },
      step: "end lease",
    },
    {
      name: "ends the lease of a suspected leader also when it has just stepped down",
      record: RECORD,
      facts: { isLeaderSuspected: true, isCampaignPaused: true },
      step: "end lease",
    },
    {
      name: "ends the lease of a previous process of its own node",
      record: RECORD,
      facts: { node: "n1" },
      step: "end lease",
    },
    {
      name: "waits when the record is left from a term that its own process has resigned",
      record: RECORD,
      facts: { node: "n1", incarnation: "x" },
      step: "wait",
    },
  ];
  for (const { name, record, facts: overrides, step } of cases)
    test(name, () => {
      const decided = decideElectionStep(record, { ...facts, ...overrides });
      assert.equal(decided.kind, step);
      if (decided.kind === "end lease") assert.deepEqual(decided.record, record);
    });
});

describe("the known leader", () => {
  function knownAfterTerm4(): KnownLeadership {
    const known = new KnownLeadership("n0");
    known.observeTerm(4);
    assert.equal(known.observeLeader("n1", 4), true);
    return known;
  }
  const cases: {
    name: string;
    leader: string | null;
    term: number;
    hasChanged: boolean;
    after: string | null;
  }[] = [
    { name: "does not change in the same term", leader: "n1", term: 4, hasChanged: false, after: "n1" },
    { name: "changes with a later term of its leader", leader: "n1", term: 5, hasChanged: true, after: "n1" },
    { name: "changes to a leader of a later term", leader: "n2", term: 5, hasChanged: true, after: "n2" },
    { name: "ignores a leader of an earlier term", leader: "n2", term: 3, hasChanged: false, after: "n1" },
    { name: "is null if there is no leader", leader: null, term: 0, hasChanged: true, after: null },
    { name: "is null for its own outdated record", leader: "n0", term: 4, hasChanged: true, after: null },
  ];
  for (const { name, leader, term, hasChanged, after } of cases)
    test(name, () => {
      const known = knownAfterTerm4();
      assert.equal(known.observeLeader(leader, term), hasChanged);
      assert.equal(known.leader.node, after);
    });

  test("stays null on a repeated observation, and a leader of an earlier term is still ignored", () => {
    const known = knownAfterTerm4();
    known.observeLeader(null, 0);
    assert.equal(known.observeLeader(null, 0), false);
    assert.deepEqual(known.leader, { node: null, term: 4 });
    assert.equal(known.observeLeader("n2", 3), false, "an outdated read");
  });

  test("is the controller itself from its election until it resigns", () => {
    const known = knownAfterTerm4();
    known.lead(5);
    assert.deepEqual([known.term, known.leader], [5, { node: "n0", term: 5 }]);
    known.resign();
    assert.deepEqual([known.term, known.leader], [5, { node: null, term: 5 }]);
  });

  test("keeps its newest term when an earlier term is observed", () => {
    const known = knownAfterTerm4();
    known.observeTerm(3);
    assert.equal(known.term, 4);
  });
});

describe("a majority is more than half of all controllers", () => {
  for (const [votes, controllers, expected] of [
    [1, 1, true],
    [1, 2, false],
    [1, 3, false],
    [2, 3, true],
    [2, 4, false],
    [3, 5, true],
  ] as const)
    test(`${votes} of ${controllers}`, () => assert.equal(isMajority(votes, controllers), expected));
});

describe("an extension is confirmed only by a controller that is refused as well and knows no later term", () => {
  const facts: ExtensionFacts = {
    nowMs: 10_000,
    hasReadLeadership: true,
    lastServedRequestSentMs: 8000,
    lastRefusedMs: 9500,
    knownTerm: 3,
    requestedTerm: 3,
  };
  const cases: [name: string, facts: Partial<ExtensionFacts>, expected: boolean][] = [
    ["refused recently", {}, true],
    ["restarted without a read since", { hasReadLeadership: false }, false],
    ["a later term is known", { knownTerm: 4 }, false],
    ["served after the last refusal", { lastServedRequestSentMs: 9600 }, false],
    ["refused too long ago", { lastRefusedMs: 8100 }, false],
    ["never refused", { lastRefusedMs: -Infinity }, false],
    ["only an earlier term is known", { knownTerm: 2 }, true],
    ["refused exactly the maximum time ago", { lastRefusedMs: 8500 }, true],
  ];
  for (const [name, overrides, expected] of cases)
    test(name, () => assert.equal(mayConfirmExtension({ ...facts, ...overrides }), expected));
});

describe("extension votes", () => {
  const PEERS = ["n1", "n2", "n3", "n4"];
  const TERM = 7;
  /** End of an extension requested at 1000 ms: 2 s later, shortened by the drift of both clocks. */
  const EXTENDED_UNTIL_MS = 1000 + 1998;
  type Vote = Parameters<ExtensionRequests["receiveVote"]>[0];
  const vote = (from: string, requestId: number, overrides: Partial<Vote> = {}): Vote => ({
    kind: "extension vote",
    from,
    term: TERM,
    requestId,
    isGranted: true,
    ...overrides,
  });

  test("of a majority extend the right, counted from the sending of the request", () => {
    const requests = new ExtensionRequests("n0", PEERS);
    const id = requests.add(TERM, 1000);
    assert.equal(requests.receiveVote(vote("n1", id), TERM), null);
    assert.equal(requests.receiveVote(vote("n1", id), TERM), null, "a repeated vote");
    assert.equal(requests.receiveVote(vote("n2", id), TERM), EXTENDED_UNTIL_MS);
    assert.equal(requests.receiveVote(vote("n3", id), TERM), EXTENDED_UNTIL_MS, "more than a majority");
  });

  const invalid: { name: string; overrides: Partial<Vote>; leadingTerm?: number }[] = [
    { name: "a vote that does not grant the extension", overrides: { isGranted: false } },
    { name: "a vote of a controller that is not a peer", overrides: { from: "n9" } },
    { name: "a vote for another request", overrides: { requestId: 99 } },
    { name: "a vote of another term", overrides: { term: TERM + 1 } },
    { name: "a vote for a term that the controller no longer leads", overrides: {}, leadingTerm: TERM + 1 },
  ];
  for (const { name, overrides, leadingTerm } of invalid)
    test(`are ignored: ${name}`, () => {
      const requests = new ExtensionRequests("n0", PEERS);
      const id = requests.add(TERM, 1000);
      requests.receiveVote(vote("n1", id), TERM);
      assert.equal(requests.receiveVote(vote("n2", id, overrides), leadingTerm ?? TERM), null);
    });

  test("are ignored once their request is too old or was cleared with its term", () => {
    const requests = new ExtensionRequests("n0", ["n1", "n2"]);
    const old = requests.add(TERM, 1000);
    const young = requests.add(TERM, 3001);
    assert.equal(requests.receiveVote(vote("n1", old), TERM), null);
    assert.equal(requests.receiveVote(vote("n1", young), TERM), 3001 + 1998);
    requests.clear();
    assert.equal(requests.receiveVote(vote("n2", young), TERM), null);
  });

  test("never match a request of a later term, because request ids are not reused", () => {
    const requests = new ExtensionRequests("n0", PEERS);
    const earlier = requests.add(TERM, 1000);
    requests.clear();
    assert.notEqual(requests.add(TERM + 1, 1000), earlier);
  });
});

describe("rights of earlier leaders have expired", () => {
  test("one lease, the drift of both clocks and a margin after a majority has confirmed the term", () => {
    const confirmation = new TermConfirmation(3, 3000);
    assert.equal(confirmation.confirm("n0", 100), false);
    assert.equal(confirmation.earlierLeadershipExpiredFromMs, Infinity);
    assert.equal(confirmation.confirm("n0", 150), false, "a repeated confirmation");
    assert.equal(confirmation.confirm("n1", 200), true);
    assert.equal(confirmation.earlierLeadershipExpiredFromMs, 200 + 3000 * 1.001 + 50);
    assert.equal(confirmation.confirm("n2", 900), false, "the majority is already complete");
    assert.equal(confirmation.earlierLeadershipExpiredFromMs, 200 + 3000 * 1.001 + 50);
  });

  test("one extension, the drift of both clocks and a margin after that majority if leases are shorter than extensions", () => {
    const confirmation = new TermConfirmation(1, 500);
    assert.equal(confirmation.confirm("n0", 0), true);
    assert.equal(confirmation.earlierLeadershipExpiredFromMs, 2002 + 50);
  });
});

describe("the rights of a leader", () => {
  const LEASE_MS = 3000;
  test("end before its lease can have expired", () => {
    assert.ok(leadershipLeaseUntilMs(1000, 3000) < 4000);
    const rights = new LeadershipRights(1000, LEASE_MS);
    assert.equal(rights.writeUntilMs, leadershipLeaseUntilMs(1000, LEASE_MS));
    assert.equal(rights.acknowledgeUntilMs, rights.writeUntilMs);
  });

  test("are prolonged by each renewal", () => {
    const rights = new LeadershipRights(1000, LEASE_MS);
    rights.renew(1750);
    assert.equal(rights.writeUntilMs, leadershipLeaseUntilMs(1750, LEASE_MS));
  });

  test("to acknowledge are extended by a majority, those to write are not, and neither is shortened", () => {
    const rights = new LeadershipRights(1000, LEASE_MS);
    rights.extend(9000);
    rights.extend(8000);
    assert.equal(rights.writeUntilMs, leadershipLeaseUntilMs(1000, LEASE_MS));
    assert.equal(rights.acknowledgeUntilMs, 9000);
    rights.extend(-Infinity);
    assert.equal(rights.acknowledgeUntilMs, 9000);
  });

  test("are lost some time after the end of the lease and the last extension", () => {
    const rights = new LeadershipRights(1000, LEASE_MS);
    const leaseUntilMs = rights.writeUntilMs;
    assert.equal(rights.areLost(leaseUntilMs + 1999), false, "an extension may still come");
    assert.equal(rights.areLost(leaseUntilMs + 2000), true);
    rights.extend(leaseUntilMs + 5000);
    assert.equal(rights.areLost(leaseUntilMs + 5999), false);
    assert.equal(rights.areLost(leaseUntilMs + 6000), true);
  });
});

test("liveness writes are active for 4 s after the last refusal, and only the first refusal starts them", () => {
  const writes = new LivenessWrites();
  assert.equal(writes.isActive(0), false);
  assert.equal(writes.extend(1000), true);
  assert.equal(writes.extend(2000), false);
  assert.deepEqual([writes.isActive(5999), writes.isActive(6000)], [true, false]);
  assert.equal(writes.extend(6000), true);
});
