import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  AcknowledgementRights,
  type HeartbeatServerLimits,
} from "../src/coordination/heartbeats/acknowledgementRights.js";
import { decideOnHeartbeat, type CurrentTerm } from "../src/coordination/heartbeats/heartbeatDecision.js";
import { firstFencingToken } from "../src/coordination/term/fencingTokens.js";
import type { Heartbeat } from "../src/protocol/model.js";
import type { Grant } from "../src/protocol/peers/messages.js";

const TERM = 4;
const NOW_MS = 100_000;
const OWN_ZONE = "a";

const ACKNOWLEDGE = { kind: "acknowledge", byZoneLease: false };
const ACKNOWLEDGE_BY_ZONE_LEASE = { kind: "acknowledge", byZoneLease: true };
const NO_RIGHT = { kind: "refuse", reason: "no right to acknowledge" };
const STALE_OR_DUPLICATE = { kind: "refuse", reason: "stale or duplicate" };
const QUARANTINED = { kind: "refuse", reason: "quarantined" };
const DEPOSED = { kind: "deposed" };
const TO_LEADER = { kind: "redirect", to: "n0" };

function heartbeat(change: Partial<Heartbeat> = {}): Heartbeat {
  return {
    machine: "host-1",
    address: "10.1.0.1:9000",
    type: "g8",
    zone: OWN_ZONE,
    spot: false,
    epoch: 2,
    tick: 9,
    fencingToken: firstFencingToken(TERM),
    interruptionNoticeS: null,
    tasks: [],
    ...change,
  };
}

/** A grant that ended `agoMs` ago, after an allowance for clock drift; a negative value means that it is still valid. */
function grantEnded(agoMs: number, change: Partial<Grant> = {}): Grant {
  const durationMs = 2000;
  return {
    kind: "grant",
    from: "n0",
    term: TERM,
    incarnation: 1,
    requestedAtMs: NOW_MS - agoMs - durationMs * 0.999,
    durationMs,
    zoneDurationMs: 0,
    issuedAtMs: 1,
    stateStoreReachable: true,
    resync: false,
    cancellationSeq: 0,
    quarantined: [],
    servers: [],
    ...change,
  };
}

function follower(...grants: Grant[]): AcknowledgementRights {
  const rights = new AcknowledgementRights(OWN_ZONE);
  for (const grant of grants) assert.ok(rights.applyGrant(grant, NOW_MS));
  return rights;
}

/** The rights of a leader whose lease ends `leaseMs` from now, with the given limits. */
function leader(leaseMs: number, limits: Partial<HeartbeatServerLimits> = {}): AcknowledgementRights {
  const rights = new AcknowledgementRights(OWN_ZONE);
  rights.setLease({
    term: TERM,
    termVersion: 1,
    writeUntilMs: NOW_MS + leaseMs,
    acknowledgeUntilMs: NOW_MS + leaseMs,
    earlierLeadershipExpiredFromMs: 0,
  });
  rights.applyLimits({
    term: TERM,
    acknowledgeUntilMs: NOW_MS + 9000,
    zoneLeaseUntilMs: -Infinity,
    quarantined: [],
    cancellationSeq: 0,
    ...limits,
  });
  return rights;
}

/** The rights of a follower that has only its zone lease left; its last grant for all zones ended `endedAgoMs` ago. */
function underZoneLease(endedAgoMs: number): AcknowledgementRights {
  return follower(grantEnded(endedAgoMs, { zoneDurationMs: 20_000 }));
}

describe("a heartbeat", () => {
  const currentTerm: CurrentTerm = { node: "n1", term: TERM, leader: "n0", firstSeenMs: 0 };
  const granted = follower(grantEnded(-1000));
  const withIsolatedPeer = underZoneLease(5000);
  withIsolatedPeer.recordZonePeerIsolated(NOW_MS - 1599);
  const withExpiredAnnouncement = underZoneLease(5000);
  withExpiredAnnouncement.recordZonePeerIsolated(NOW_MS - 1600);
  const cases: {
    name: string;
    rights: AcknowledgementRights;
    heartbeat?: Partial<Heartbeat>;
    known?: Partial<Heartbeat>;
    term?: Partial<CurrentTerm>;
    decision: object;
  }[] = [
    { name: "is acknowledged under a grant", rights: granted, decision: ACKNOWLEDGE },
    {
      name: "is acknowledged when it is newer than the known one",
      rights: granted,
      known: { tick: 8 },
      decision: ACKNOWLEDGE,
    },
    {
      name: "is refused when it duplicates the known one",
      rights: granted,
      known: {},
      decision: STALE_OR_DUPLICATE,
    },
    {
      name: "is refused when a newer one is known",
      rights: granted,
      known: { epoch: 3, tick: 1 },
      decision: STALE_OR_DUPLICATE,
    },
    {
      name: "is refused when its machine is quarantined",
      rights: follower(grantEnded(-1000, { quarantined: ["host-2", "host-1"] })),
      decision: QUARANTINED,
    },
    {
      name: "deposes this controller when it carries a later term's token, even as a duplicate from a quarantined machine",
      rights: follower(grantEnded(-1000, { quarantined: ["host-1"] })),
      heartbeat: { fencingToken: firstFencingToken(TERM + 1) },
      known: {},
      decision: DEPOSED,
    },
    {
      name: "does not depose this controller when it carries the last token of the current term",
      rights: granted,
      heartbeat: { fencingToken: firstFencingToken(TERM + 1) - 1 },
      decision: ACKNOWLEDGE,
    },
    {
      name: "is refused before the first grant of a term that began recently",
      rights: follower(),
      term: { firstSeenMs: NOW_MS - 2499 },
      decision: NO_RIGHT,
    },
    {
      name: "is redirected to the leader of a term that has long been without a grant",
      rights: follower(),
      term: { firstSeenMs: NOW_MS - 2500 },
      decision: TO_LEADER,
    },
    {
      name: "is refused shortly after the last grant ended",
      rights: follower(grantEnded(2499)),
      decision: NO_RIGHT,
    },
    {
      name: "is redirected to the leader long after the last grant ended",
      rights: follower(grantEnded(2501)),
      decision: TO_LEADER,
    },
    {
      name: "is refused when the leader is unknown",
      rights: follower(),
      term: { leader: null },
      decision: NO_RIGHT,
    },
    {
      name: "is refused when this controller was the leader",
      rights: follower(),
      term: { leader: "n1" },
      decision: NO_RIGHT,
    },
    { name: "is acknowledged under the leader's own lease", rights: leader(1000), decision: ACKNOWLEDGE },
    {
      name: "is refused after the leader's own lease ended",
      rights: leader(0),
      term: { leader: "n1" },
      decision: NO_RIGHT,
    },
    {
      name: "is refused by a leader past the limit set by the known cancellations",
      rights: leader(1000, { acknowledgeUntilMs: NOW_MS }),
      decision: NO_RIGHT,
    },
    {
      name: "from this controller's zone is acknowledged under the zone lease until zone peers have had time to announce isolation",
      rights: underZoneLease(1499),
      decision: ACKNOWLEDGE_BY_ZONE_LEASE,
    },
    {
      name: "from this controller's zone is refused when no zone peer has announced isolation in time",
      rights: underZoneLease(1501),
      decision: NO_RIGHT,
    },
    {
      name: "from this controller's zone is acknowledged while a zone peer is isolated, too",
      rights: withIsolatedPeer,
      decision: ACKNOWLEDGE_BY_ZONE_LEASE,
    },
    {
      name: "from this controller's zone is redirected when the zone peer's announcement has expired",
      rights: withExpiredAnnouncement,
      decision: TO_LEADER,
    },
    {
      name: "from another zone is refused under the zone lease",
      rights: underZoneLease(1000),
      heartbeat: { zone: "b" },
      decision: NO_RIGHT,
    },
    {
      name: "is refused under the zone lease when it is a duplicate",
      rights: withIsolatedPeer,
      known: {},
      decision: STALE_OR_DUPLICATE,
    },
  ];
  for (const { name, rights, decision, ...change } of cases)
    test(name, () => {
      const known = change.known && heartbeat(change.known);
      const caseTerm = { ...currentTerm, ...change.term };
      assert.deepEqual(
        decideOnHeartbeat(heartbeat(change.heartbeat), known, rights, caseTerm, NOW_MS),
        decision,
      );
    });
});

describe("a grant", () => {
  test("counts from its request, shortened by the clock drift", () => {
    const rights = follower(grantEnded(0, { requestedAtMs: NOW_MS - 500, zoneDurationMs: 8000 }));
    assert.equal(rights.acknowledgeUntilMs, NOW_MS - 500 + 2000 * 0.999);
    assert.equal(rights.isIsolated(rights.acknowledgeUntilMs), true);
    assert.equal(rights.isIsolated(NOW_MS - 500 + 8000 * 0.999), false);
  });

  test("is ignored when its request lies in the future or is too old", () => {
    for (const requestedAtMs of [NOW_MS + 1, NOW_MS - 10_001]) {
      const rights = new AcknowledgementRights(OWN_ZONE);
      assert.equal(rights.applyGrant(grantEnded(0, { requestedAtMs }), NOW_MS), false);
      assert.equal(rights.acknowledgeUntilMs, -Infinity);
    }
  });

  test("does not shorten an earlier one, and is revoked at the end of its term", () => {
    const rights = follower(grantEnded(-1000), grantEnded(500));
    assert.ok(Math.abs(rights.acknowledgeUntilMs - (NOW_MS + 1000)) < 1e-6);
    rights.revokeAll();
    assert.equal(rights.acknowledgeUntilMs, -Infinity);
  });
});
