import assert from "node:assert/strict";
import test from "node:test";
import {
  type GrantTerms,
  HeartbeatServerRegistry,
} from "../src/coordination/heartbeats/heartbeatServerRegistry.js";
import type { HeartbeatServerUpdate } from "../src/protocol/peers/messages.js";

/** The update with which a controller requests its first grant. */
const firstUpdate: HeartbeatServerUpdate = {
  kind: "heartbeat server update",
  from: "n1",
  term: 1,
  incarnation: 5,
  sequence: 1,
  lastGrantIssuedAtMs: 0,
  lastResyncIssuedAtMs: 0,
  requestedAtMs: 70,
  machines: 3,
  lagMs: 0,
  unchanged: [],
  heartbeats: [],
  cancellations: [],
  cancellationSeq: 0,
  cancellationsComplete: true,
};

/** What a grant may allow, with what a case is about. */
function grantTerms(
  about: Pick<GrantTerms, "nowMs" | "acknowledgeUntilMs"> & Partial<GrantTerms>,
): GrantTerms {
  return {
    self: { node: "n0", machines: 1, lagMs: 0 },
    stateStoreReachable: true,
    zoneDurationMs: 0,
    quarantined: [],
    ...about,
  };
}

test("a gap makes acknowledgements unknown, and a grant ends no later than the leader's own right to acknowledge", () => {
  const registry = new HeartbeatServerRegistry(new Map([["n1", "b"]]), 9000);
  const facts = (): object => ({ ...[...registry.acknowledgementFacts("a", 0)][0] });
  registry.applyUpdate(firstUpdate, 10_000);
  assert.equal(
    registry.grant(firstUpdate, grantTerms({ nowMs: 10_000, acknowledgeUntilMs: 10_500 }))?.durationMs,
    500,
    "no longer than the lease",
  );
  assert.equal(
    registry.grant(firstUpdate, grantTerms({ nowMs: 10_600, acknowledgeUntilMs: 10_500 })),
    null,
    "none after it",
  );
  registry.applyUpdate({ ...firstUpdate, sequence: 2, lastGrantIssuedAtMs: 10_000 }, 10_400);
  assert.deepEqual(timesOf(facts()), {
    acknowledgementsKnownUntilMs: 10_000,
    acknowledgementsUnknownBeforeMs: -Infinity,
  });
  registry.applyUpdate({ ...firstUpdate, sequence: 4, lastGrantIssuedAtMs: 10_300 }, 10_700);
  assert.deepEqual(
    timesOf(facts()),
    { acknowledgementsKnownUntilMs: 10_300, acknowledgementsUnknownBeforeMs: 10_700 },
    "a lost frame",
  );
  registry.applyUpdate({ ...firstUpdate, incarnation: 6, sequence: 1 }, 10_900);
  assert.deepEqual(
    timesOf(facts()),
    { acknowledgementsKnownUntilMs: 10_300, acknowledgementsUnknownBeforeMs: 10_900 },
    "a new process",
  );
});

test("a zone lease outlasts a grant; one without an update in this term may hold an earlier leader's", () => {
  const registry = new HeartbeatServerRegistry(
    new Map([
      ["n1", "b"],
      ["n2", "b"],
      ["n3", "a"],
    ]),
    9000,
  );
  registry.applyUpdate(firstUpdate, 10_000);
  assert.equal(
    registry.grant(
      firstUpdate,
      grantTerms({ nowMs: 10_000, acknowledgeUntilMs: 12_000, zoneDurationMs: 9000 }),
    )?.zoneDurationMs,
    9000,
  );
  const grantEnds = (zone: string): number[] =>
    [...registry.acknowledgementFacts(zone, 7000)].map((facts) => Math.round(facts.grantUntilMs));
  const grantEnd = 10_000 + 2000 * 1.001 + 10;
  const cases: [zone: string, wantMs: number[]][] = [
    // n1's own zone: what it was given; n2, without an update in this term: what an earlier leader can have given it.
    ["b", [10_000 + 9000 * 1.001 + 10, 7000 + 9000 * 1.001]],
    ["a", [grantEnd, 7000 + 9000 * 1.001]],
    ["", [10_000 + 9000 * 1.001 + 10, 7000 + 9000 * 1.001, 7000 + 9000 * 1.001]],
    ["c", [grantEnd]],
  ];
  for (const [zone, wantMs] of cases)
    assert.deepEqual(grantEnds(zone), wantMs.map(Math.round), `zone "${zone}"`);
  // What it did under an earlier leader is over with its first update of this term, and unknown up to then.
  assert.equal([...registry.acknowledgementFacts("b", 7000)][0]!.acknowledgementsUnknownBeforeMs, 10_000);
  assert.equal([...registry.acknowledgementFacts("a", 7000)][0]!.acknowledgementsUnknownBeforeMs, -Infinity);
});

test("a resync is requested until it is carried out, also of a controller that stood still at the first request", () => {
  const registry = new HeartbeatServerRegistry(new Map([["n1", "a"]]), 0);
  const update = (sequence: number, lastResyncIssuedAtMs: number): HeartbeatServerUpdate => ({
    ...firstUpdate,
    sequence,
    lastResyncIssuedAtMs,
  });
  const requestsResync = (sequence: number, resyncMs: number, nowMs: number): boolean | undefined => {
    registry.applyUpdate(update(sequence, resyncMs), nowMs);
    return registry.grant(update(sequence, resyncMs), grantTerms({ nowMs, acknowledgeUntilMs: nowMs + 4000 }))
      ?.resync;
  };
  assert.deepEqual(
    [
      requestsResync(1, 0, 1000),
      requestsResync(3, 0, 2000),
      requestsResync(4, 0, 3000),
      requestsResync(5, 2500, 4000),
      requestsResync(6, 2500, 5000),
    ],
    [false, true, true, false, false],
  );
});

test("cancellations are known when they are read, or named by the process that confirmed them", () => {
  const registry = new HeartbeatServerRegistry(
    new Map([
      ["n1", "a"],
      ["n2", "a"],
    ]),
    0,
  );
  const frame = (
    from: string,
    incarnation: number,
    lastGrantIssuedAtMs: number,
    cancellationsComplete = true,
  ): HeartbeatServerUpdate => ({
    ...firstUpdate,
    from,
    incarnation,
    lastGrantIssuedAtMs,
    cancellationsComplete,
  });
  const steps: [
    name: string,
    update: HeartbeatServerUpdate | null,
    nowMs: number,
    readUntilMs: number,
    knownUntilMs: number,
  ][] = [
    ["no update yet: what is read", null, 10_000, 9900, 9900],
    ["one has sent an update", frame("n1", 5, 9950), 10_100, 10_100, 10_100],
    ["both have, and nothing has been read since", frame("n2", 6, 10_400), 10_500, 10_500, 10_500],
    ["both have named all that they confirmed", frame("n1", 5, 11_000), 11_100, 10_500, 10_500],
    ["the earliest counts", frame("n2", 6, 10_900), 11_200, 10_500, 10_900],
    ["a list that is not whole adds nothing", frame("n2", 6, 11_100, false), 11_300, 10_500, 10_900],
    ["a time from the future adds no more than now", frame("n2", 6, 99_000), 11_400, 10_500, 11_000],
    [
      "a new process can't name what the one before it confirmed",
      frame("n1", 7, 11_300),
      11_500,
      10_500,
      10_500,
    ],
    ["so the other's list counts, too", frame("n2", 6, 11_600), 11_700, 11_500, 11_500],
    [
      "once more was read than at its first update, its own list counts",
      frame("n1", 7, 11_550),
      11_900,
      11_500,
      11_550,
    ],
  ];
  for (const [name, update, nowMs, readUntilMs, knownUntilMs] of steps) {
    if (update) {
      registry.applyUpdate(update, nowMs);
      registry.applyCancellations(update, nowMs);
    }
    assert.equal(registry.cancellationsKnownUntilMs(readUntilMs), knownUntilMs, name);
  }
});

function timesOf(facts: object): object {
  const { acknowledgementsKnownUntilMs, acknowledgementsUnknownBeforeMs } = facts as {
    acknowledgementsKnownUntilMs: number;
    acknowledgementsUnknownBeforeMs: number;
  };
  return { acknowledgementsKnownUntilMs, acknowledgementsUnknownBeforeMs };
}
