import assert from "node:assert/strict";
import test from "node:test";
import {
  type GrantConditions,
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
  workerCount: 3,
  lagMs: 0,
  unchanged: [],
  heartbeats: [],
  cancellations: [],
  cancellationSeq: 0,
  cancellationsComplete: true,
};

/** The conditions of a grant: defaults, overridden by the values that a test case sets. */
function grantConditions(
  overrides: Pick<GrantConditions, "nowMs" | "acknowledgeUntilMs"> & Partial<GrantConditions>,
): GrantConditions {
  return {
    leaderLoad: { node: "n0", workerCount: 1, lagMs: 0 },
    stateStoreReachable: true,
    zoneDurationMs: 0,
    quarantined: [],
    ...overrides,
  };
}

test("a sequence gap makes acknowledgements unknown, and a grant does not outlast the leader's right to acknowledge", () => {
  const registry = new HeartbeatServerRegistry(new Map([["n1", "b"]]), 9000);
  const facts = (): object => ({ ...[...registry.acknowledgementFacts("a", 0)][0] });
  registry.applyUpdate(firstUpdate, 10_000);
  assert.equal(
    registry.createGrant(firstUpdate, grantConditions({ nowMs: 10_000, acknowledgeUntilMs: 10_500 }))
      ?.durationMs,
    500,
    "a grant is no longer than the lease",
  );
  assert.equal(
    registry.createGrant(firstUpdate, grantConditions({ nowMs: 10_600, acknowledgeUntilMs: 10_500 })),
    null,
    "no grant after the lease",
  );
  registry.applyUpdate({ ...firstUpdate, sequence: 2, lastGrantIssuedAtMs: 10_000 }, 10_400);
  assert.deepEqual(acknowledgementTimes(facts()), {
    acknowledgementsKnownUntilMs: 10_000,
    acknowledgementsUnknownBeforeMs: -Infinity,
  });
  registry.applyUpdate({ ...firstUpdate, sequence: 4, lastGrantIssuedAtMs: 10_300 }, 10_700);
  assert.deepEqual(
    acknowledgementTimes(facts()),
    { acknowledgementsKnownUntilMs: 10_300, acknowledgementsUnknownBeforeMs: 10_700 },
    "an update was lost",
  );
  registry.applyUpdate({ ...firstUpdate, incarnation: 6, sequence: 1 }, 10_900);
  assert.deepEqual(
    acknowledgementTimes(facts()),
    { acknowledgementsKnownUntilMs: 10_300, acknowledgementsUnknownBeforeMs: 10_900 },
    "the process was restarted",
  );
});

test("a zone lease outlasts a grant, and a controller without an update may hold one from an earlier leader", () => {
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
    registry.createGrant(
      firstUpdate,
      grantConditions({ nowMs: 10_000, acknowledgeUntilMs: 12_000, zoneDurationMs: 9000 }),
    )?.zoneDurationMs,
    9000,
  );
  const grantEndsMs = (zone: string): number[] =>
    [...registry.acknowledgementFacts(zone, 7000)].map((facts) => Math.round(facts.grantUntilMs));
  const grantEndMs = 10_000 + 2000 * 1.001 + 10;
  const cases: [zone: string, expectedMs: number[]][] = [
    // In their own zone, n1 has the zone lease that it was granted, and n2, which has sent no update in this term, may
    // have the longest one of an earlier leader.
    ["b", [10_000 + 9000 * 1.001 + 10, 7000 + 9000 * 1.001]],
    ["a", [grantEndMs, 7000 + 9000 * 1.001]],
    ["", [10_000 + 9000 * 1.001 + 10, 7000 + 9000 * 1.001, 7000 + 9000 * 1.001]],
    ["c", [grantEndMs]],
  ];
  for (const [zone, expectedMs] of cases)
    assert.deepEqual(grantEndsMs(zone), expectedMs.map(Math.round), `zone "${zone}"`);
  // The first update of this term ends the rights from an earlier leader; acknowledgements before it are unknown.
  assert.equal([...registry.acknowledgementFacts("b", 7000)][0]!.acknowledgementsUnknownBeforeMs, 10_000);
  assert.equal([...registry.acknowledgementFacts("a", 7000)][0]!.acknowledgementsUnknownBeforeMs, -Infinity);
});

test("a resync is requested until it is carried out, even if the controller was stalled at the first request", () => {
  const registry = new HeartbeatServerRegistry(new Map([["n1", "a"]]), 0);
  const update = (sequence: number, lastResyncIssuedAtMs: number): HeartbeatServerUpdate => ({
    ...firstUpdate,
    sequence,
    lastResyncIssuedAtMs,
  });
  const requestsResync = (sequence: number, resyncMs: number, nowMs: number): boolean | undefined => {
    registry.applyUpdate(update(sequence, resyncMs), nowMs);
    return registry.createGrant(
      update(sequence, resyncMs),
      grantConditions({ nowMs, acknowledgeUntilMs: nowMs + 4000 }),
    )?.resync;
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

test("cancellations are known once they are read, or reported by the process that confirmed them", () => {
  const registry = new HeartbeatServerRegistry(
    new Map([
      ["n1", "a"],
      ["n2", "a"],
    ]),
    0,
  );
  const updateFrom = (
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
    ["without updates, only what has been read counts", null, 10_000, 9900, 9900],
    ["one controller has sent an update", updateFrom("n1", 5, 9950), 10_100, 10_100, 10_100],
    ["both have sent one, and everything has been read", updateFrom("n2", 6, 10_400), 10_500, 10_500, 10_500],
    [
      "only one controller has reported everything since the last read",
      updateFrom("n1", 5, 11_000),
      11_100,
      10_500,
      10_500,
    ],
    ["the earlier of both reports counts", updateFrom("n2", 6, 10_900), 11_200, 10_500, 10_900],
    ["an incomplete report does not count", updateFrom("n2", 6, 11_100, false), 11_300, 10_500, 10_900],
    ["a time in the future counts as the current time", updateFrom("n2", 6, 99_000), 11_400, 10_500, 11_000],
    [
      "a new process cannot report what the previous one confirmed",
      updateFrom("n1", 7, 11_300),
      11_500,
      10_500,
      10_500,
    ],
    [
      "once the store has been read up to the restart, the read counts",
      updateFrom("n2", 6, 11_600),
      11_700,
      11_500,
      11_500,
    ],
    [
      "once the store has been read up to its first update, the new process's report counts",
      updateFrom("n1", 7, 11_550),
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

function acknowledgementTimes(facts: object): object {
  const { acknowledgementsKnownUntilMs, acknowledgementsUnknownBeforeMs } = facts as {
    acknowledgementsKnownUntilMs: number;
    acknowledgementsUnknownBeforeMs: number;
  };
  return { acknowledgementsKnownUntilMs, acknowledgementsUnknownBeforeMs };
}
