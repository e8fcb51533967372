import assert from "node:assert/strict";
import test from "node:test";
import {
  type GrantTerms,
  HeartbeatServerRegistry,
} from "../src/coordination/heartbeats/heartbeatServerRegistry.js";
import type { HeartbeatServerUpdate } from "../src/protocol/peers/messages.js";

/** What a controller asks for its first grant with. */
const ask: HeartbeatServerUpdate = {
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

test("the leader's registry of heartbeat servers: gaps blind it, grants end no later than its own right to acknowledge", () => {
  const facts = (s: HeartbeatServerRegistry): object => ({ ...[...s.acknowledgementFacts("a", 0)][0] });
  const s = new HeartbeatServerRegistry(new Map([["n1", "b"]]), 9000);
  s.applyUpdate(ask, 10_000);
  assert.equal(
    s.grant(ask, grantTerms({ nowMs: 10_000, acknowledgeUntilMs: 10_500 }))?.durationMs,
    500,
    "no longer than the lease",
  );
  assert.equal(
    s.grant(ask, grantTerms({ nowMs: 10_600, acknowledgeUntilMs: 10_500 })),
    null,
    "none after it",
  );
  s.applyUpdate({ ...ask, sequence: 2, lastGrantIssuedAtMs: 10_000 }, 10_400);
  assert.deepEqual(pick(facts(s)), {
    acknowledgementsKnownUntilMs: 10_000,
    acknowledgementsUnknownBeforeMs: -Infinity,
  });
  s.applyUpdate({ ...ask, sequence: 4, lastGrantIssuedAtMs: 10_300 }, 10_700);
  assert.deepEqual(
    pick(facts(s)),
    { acknowledgementsKnownUntilMs: 10_300, acknowledgementsUnknownBeforeMs: 10_700 },
    "a lost frame",
  );
  s.applyUpdate({ ...ask, incarnation: 6, sequence: 1 }, 10_900);
  assert.deepEqual(
    pick(facts(s)),
    { acknowledgementsKnownUntilMs: 10_300, acknowledgementsUnknownBeforeMs: 10_900 },
    "a new process",
  );
});

test("a controller may keep its own zone for longer, and a lease there counts from that; an unheard one's from before", () => {
  const s = new HeartbeatServerRegistry(
    new Map([
      ["n1", "b"],
      ["n2", "b"],
      ["n3", "a"],
    ]),
    9000,
  );
  s.applyUpdate(ask, 10_000);
  assert.equal(
    s.grant(ask, grantTerms({ nowMs: 10_000, acknowledgeUntilMs: 12_000, zoneDurationMs: 9000 }))
      ?.zoneDurationMs,
    9000,
  );
  const until = (zone: string): number[] =>
    [...s.acknowledgementFacts(zone, 7000)].map((f) => Math.round(f.grantUntilMs));
  const short = 10_000 + 2000 * 1.001 + 10;
  const cases: [string, number[]][] = [
    // n1's own zone: what it was given; n2, not heard in this term: what an earlier leader can have given it.
    ["b", [10_000 + 9000 * 1.001 + 10, 7000 + 9000 * 1.001]],
    ["a", [short, 7000 + 9000 * 1.001]],
    ["", [10_000 + 9000 * 1.001 + 10, 7000 + 9000 * 1.001, 7000 + 9000 * 1.001]],
    ["c", [short]],
  ];
  for (const [zone, want] of cases) assert.deepEqual(until(zone), want.map(Math.round), `zone "${zone}"`);
  // Whatever it did under an earlier leader is over with its first frame of this term, and unknown up to then.
  assert.equal([...s.acknowledgementFacts("b", 7000)][0]!.acknowledgementsUnknownBeforeMs, 10_000);
  assert.equal([...s.acknowledgementFacts("a", 7000)][0]!.acknowledgementsUnknownBeforeMs, -Infinity);
});

test("what was lost is asked for until it is told again, also of who stood still when it was asked", () => {
  const s = new HeartbeatServerRegistry(new Map([["n1", "a"]]), 0);
  const frame = (seq: number, retoldMs: number): HeartbeatServerUpdate => ({
    ...ask,
    sequence: seq,
    lastResyncIssuedAtMs: retoldMs,
  });
  const asked = (seq: number, retoldMs: number, nowMs: number): boolean | undefined => {
    s.applyUpdate(frame(seq, retoldMs), nowMs);
    return s.grant(frame(seq, retoldMs), grantTerms({ nowMs, acknowledgeUntilMs: nowMs + 4000 }))?.resync;
  };
  assert.deepEqual(
    [asked(1, 0, 1000), asked(3, 0, 2000), asked(4, 0, 3000), asked(5, 2500, 4000), asked(6, 2500, 5000)],
    [false, true, true, false, false],
  );
});

test("what users were told is cancelled: read, or named by who told it; a process that is over can only be read after", () => {
  const s = new HeartbeatServerRegistry(
    new Map([
      ["n1", "a"],
      ["n2", "a"],
    ]),
    0,
  );
  const frame = (
    from: string,
    incarnation: number,
    echoMs: number,
    toldAll = true,
  ): HeartbeatServerUpdate => ({
    ...ask,
    from,
    incarnation,
    lastGrantIssuedAtMs: echoMs,
    cancellationsComplete: toldAll,
  });
  const steps: [string, HeartbeatServerUpdate | null, number, number, number][] = [
    // name, frame that comes in at this moment, up to when we have read, known up to
    ["nobody heard: what we read", null, 10_000, 9900, 9900],
    ["one heard", frame("n1", 5, 9950), 10_100, 10_100, 10_100],
    ["both heard, and read nothing since", frame("n2", 6, 10_400), 10_500, 10_500, 10_500],
    ["both have named all that they told", frame("n1", 5, 11_000), 11_100, 10_500, 10_500],
    ["the earliest counts", frame("n2", 6, 10_900), 11_200, 10_500, 10_900],
    ["a list that is not whole adds nothing", frame("n2", 6, 11_100, false), 11_300, 10_500, 10_900],
    ["an echo from our future adds no more than now", frame("n2", 6, 99_000), 11_400, 10_500, 11_000],
    ["a new process can't speak for the one before", frame("n1", 7, 11_300), 11_500, 10_500, 10_500],
    ["so the other's list counts, too", frame("n2", 6, 11_600), 11_700, 11_500, 11_500],
    [
      "once we have read after we first heard it, it speaks for itself",
      frame("n1", 7, 11_550),
      11_900,
      11_500,
      11_550,
    ],
  ];
  for (const [name, update, nowMs, readMs, want] of steps) {
    if (update) {
      s.applyUpdate(update, nowMs);
      s.applyCancellations(update, nowMs);
    }
    assert.equal(s.cancellationsKnownUntilMs(readMs), want, name);
  }
});

function pick(o: object): object {
  const { acknowledgementsKnownUntilMs, acknowledgementsUnknownBeforeMs } = o as {
    acknowledgementsKnownUntilMs: number;
    acknowledgementsUnknownBeforeMs: number;
  };
  return { acknowledgementsKnownUntilMs, acknowledgementsUnknownBeforeMs };
}
