import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  AcknowledgementRights,
  type HeartbeatServerLimits,
} from "../src/coordination/heartbeats/acknowledgementRights.js";
import { decideOnHeartbeat, type ServedTerm } from "../src/coordination/heartbeats/heartbeatDecision.js";
import { firstFencingToken } from "../src/coordination/term/fencingTokens.js";
import type { Heartbeat } from "../src/protocol/model.js";
import type { Grant } from "../src/protocol/peers/messages.js";

const TERM = 4;
const NOW_MS = 100_000;
const OWN_ZONE = "a";

const ACKNOWLEDGE = { kind: "acknowledge", byZoneLease: false };
const ACKNOWLEDGE_BY_ZONE_LEASE = { kind: "acknowledge", byZoneLease: true };
const NO_RIGHT = { kind: "refuse", reason: "no right to acknowledge" };
const LATE_COPY = { kind: "refuse", reason: "late copy" };
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

/** A grant that has ended (clocks may differ a little) so many milliseconds ago; negative: it still lasts. */
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

/** A leader whose lease ends so much later, with limits that end so much later. */
function leader(leaseMs: number, limits: Partial<HeartbeatServerLimits> = {}): AcknowledgementRights {
  const rights = new AcknowledgementRights(OWN_ZONE);
  rights.setLease({
    term: TERM,
    termVersion: 1,
    writeUntilMs: NOW_MS + leaseMs,
    acknowledgeUntilMs: NOW_MS + leaseMs,
    earlierLeadersSilentFromMs: 0,
  });
  rights.applyLimits({
    term: TERM,
    untilMs: NOW_MS + 9000,
    zoneLeaseUntilMs: -Infinity,
    quarantined: [],
    cancellationSeq: 0,
    ...limits,
  });
  return rights;
}

/** The only right left is the zone lease; the last one for all zones ended so long ago. */
function underZoneLease(endedAgoMs: number): AcknowledgementRights {
  return follower(grantEnded(endedAgoMs, { zoneDurationMs: 20_000 }));
}

describe("a heartbeat", () => {
  const served: ServedTerm = { node: "n1", term: TERM, leader: "n0", sinceMs: 0 };
  const granted = follower(grantEnded(-1000));
  const withNeighbour = underZoneLease(5000);
  withNeighbour.noteNeighbourIsolated(NOW_MS - 1599);
  const withSilentNeighbour = underZoneLease(5000);
  withSilentNeighbour.noteNeighbourIsolated(NOW_MS - 1600);
  const cases: {
    name: string;
    rights: AcknowledgementRights;
    heartbeat?: Partial<Heartbeat>;
    known?: Partial<Heartbeat>;
    served?: Partial<ServedTerm>;
    decision: object;
  }[] = [
    { name: "is acknowledged under a grant", rights: granted, decision: ACKNOWLEDGE },
    {
      name: "is acknowledged when a newer one than the known",
      rights: granted,
      known: { tick: 8 },
      decision: ACKNOWLEDGE,
    },
    { name: "is refused when it is known already", rights: granted, known: {}, decision: LATE_COPY },
    {
      name: "is refused when a newer one is known",
      rights: granted,
      known: { epoch: 3, tick: 1 },
      decision: LATE_COPY,
    },
    {
      name: "is refused when its machine is quarantined",
      rights: follower(grantEnded(-1000, { quarantined: ["host-2", "host-1"] })),
      decision: QUARANTINED,
    },
    {
      name: "deposes us when it shows a later term's token, whatever else holds",
      rights: follower(grantEnded(-1000, { quarantined: ["host-1"] })),
      heartbeat: { fencingToken: firstFencingToken(TERM + 1) },
      known: {},
      decision: DEPOSED,
    },
    {
      name: "does not depose us when it shows our own term's last token",
      rights: granted,
      heartbeat: { fencingToken: firstFencingToken(TERM + 1) - 1 },
      decision: ACKNOWLEDGE,
    },
    {
      name: "is refused before the first grant of a young term",
      rights: follower(),
      served: { sinceMs: NOW_MS - 2499 },
      decision: NO_RIGHT,
    },
    {
      name: "is redirected to the leader of an older term",
      rights: follower(),
      served: { sinceMs: NOW_MS - 2500 },
      decision: TO_LEADER,
    },
    {
      name: "is refused a moment after the last grant",
      rights: follower(grantEnded(2499)),
      decision: NO_RIGHT,
    },
    { name: "is redirected to the leader later on", rights: follower(grantEnded(2501)), decision: TO_LEADER },
    { name: "is refused without a leader", rights: follower(), served: { leader: null }, decision: NO_RIGHT },
    {
      name: "is refused when we were the leader",
      rights: follower(),
      served: { leader: "n1" },
      decision: NO_RIGHT,
    },
    { name: "is acknowledged by the leader's lease", rights: leader(1000), decision: ACKNOWLEDGE },
    {
      name: "is refused after the leader's lease",
      rights: leader(0),
      served: { leader: "n1" },
      decision: NO_RIGHT,
    },
    {
      name: "is refused by a leader past what it knows of cancellations",
      rights: leader(1000, { untilMs: NOW_MS }),
      decision: NO_RIGHT,
    },
    {
      name: "of our own zone is acknowledged by the zone lease, until neighbours can have spoken",
      rights: underZoneLease(1499),
      decision: ACKNOWLEDGE_BY_ZONE_LEASE,
    },
    {
      name: "of our own zone is refused when no neighbour has spoken",
      rights: underZoneLease(1501),
      decision: NO_RIGHT,
    },
    {
      name: "of our own zone is acknowledged while a neighbour is isolated, too",
      rights: withNeighbour,
      decision: ACKNOWLEDGE_BY_ZONE_LEASE,
    },
    {
      name: "of our own zone is redirected when the neighbour's statement is old",
      rights: withSilentNeighbour,
      decision: TO_LEADER,
    },
    {
      name: "of another zone is refused under the zone lease",
      rights: underZoneLease(1000),
      heartbeat: { zone: "b" },
      decision: NO_RIGHT,
    },
    {
      name: "is refused by the zone lease when it is a late copy",
      rights: withNeighbour,
      known: {},
      decision: LATE_COPY,
    },
  ];
  for (const { name, rights, decision, ...change } of cases)
    test(name, () => {
      const known = change.known && heartbeat(change.known);
      const servedTerm = { ...served, ...change.served };
      assert.deepEqual(
        decideOnHeartbeat(heartbeat(change.heartbeat), known, rights, servedTerm, NOW_MS),
        decision,
      );
    });
});

describe("a grant", () => {
  test("counts from its request, a little short for the clocks' drift", () => {
    const rights = follower(grantEnded(0, { requestedAtMs: NOW_MS - 500, zoneDurationMs: 8000 }));
    assert.equal(rights.untilMs, NOW_MS - 500 + 2000 * 0.999);
    assert.equal(rights.isIsolated(rights.untilMs), true);
    assert.equal(rights.isIsolated(NOW_MS - 500 + 8000 * 0.999), false);
  });

  test("is not used when its request is unknown or long ago", () => {
    for (const requestedAtMs of [NOW_MS + 1, NOW_MS - 10_001]) {
      const rights = new AcknowledgementRights(OWN_ZONE);
      assert.equal(rights.applyGrant(grantEnded(0, { requestedAtMs }), NOW_MS), false);
      assert.equal(rights.untilMs, -Infinity);
    }
  });

  test("shortens no earlier one, and is dropped with its term", () => {
    const rights = follower(grantEnded(-1000), grantEnded(500));
    assert.ok(Math.abs(rights.untilMs - (NOW_MS + 1000)) < 1e-6);
    rights.drop();
    assert.equal(rights.untilMs, -Infinity);
  });
});
