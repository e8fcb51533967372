import assert from "node:assert/strict";
import test from "node:test";
import { isMajority, mayConfirmExtension, readLeadership } from "../src/coordination/leadership/elector.js";
import { Job, type Attempt, Machine } from "../src/bookkeeping/workload.js";
import { AcknowledgementLimits } from "../src/coordination/heartbeats/acknowledgementLimits.js";
import { ConfirmedCancellations } from "../src/coordination/heartbeats/confirmedCancellations.js";
import type { JobSpec } from "../src/protocol/model.js";
import type { HeartbeatServerUpdate } from "../src/protocol/peers/messages.js";
import { chooseServer } from "../src/coordination/heartbeats/workerBalancer.js";
import {
  type GrantTerms,
  HeartbeatServerRegistry,
} from "../src/coordination/heartbeats/heartbeatServerRegistry.js";
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
  const mine = { sentToken: 100, sentEpoch: 2, inherited: false };
  const old = { sentToken: -1, sentEpoch: 0, inherited: true };
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
    everServed: true,
    lastServedSentMs: 8000,
    lastRefusedMs: 9500,
    knownTerm: 3,
    askedTerm: 3,
  };
  const cases: [string, Partial<typeof base>, boolean][] = [
    ["refused lately", {}, true],
    ["restarted, and has read nothing", { everServed: false }, false],
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
  const view = readLeadership(
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
    record: { term: 4, node: "n1", incarnation: "x", lease: 9 },
  });
  assert.deepEqual(readLeadership([], 9), { revision: 9, termVersion: 0, term: 0, record: null });
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
  const facts = (s: HeartbeatServerRegistry): object => ({ ...[...s.facts("a", 0)][0] });
  const s = new HeartbeatServerRegistry(new Map([["n1", "b"]]), 9000);
  s.received(ask, 10_000);
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
  s.received({ ...ask, sequence: 2, lastGrantIssuedAtMs: 10_000 }, 10_400);
  assert.deepEqual(pick(facts(s)), {
    acknowledgementsKnownUntilMs: 10_000,
    acknowledgementsUnknownBeforeMs: -Infinity,
  });
  s.received({ ...ask, sequence: 4, lastGrantIssuedAtMs: 10_300 }, 10_700);
  assert.deepEqual(
    pick(facts(s)),
    { acknowledgementsKnownUntilMs: 10_300, acknowledgementsUnknownBeforeMs: 10_700 },
    "a lost frame",
  );
  s.received({ ...ask, incarnation: 6, sequence: 1 }, 10_900);
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
  s.received(ask, 10_000);
  assert.equal(
    s.grant(ask, grantTerms({ nowMs: 10_000, acknowledgeUntilMs: 12_000, zoneDurationMs: 9000 }))
      ?.zoneDurationMs,
    9000,
  );
  const until = (zone: string): number[] => [...s.facts(zone, 7000)].map((f) => Math.round(f.grantUntilMs));
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
  assert.equal([...s.facts("b", 7000)][0]!.acknowledgementsUnknownBeforeMs, 10_000);
  assert.equal([...s.facts("a", 7000)][0]!.acknowledgementsUnknownBeforeMs, -Infinity);
});

test("what was lost is asked for until it is told again, also of who stood still when it was asked", () => {
  const s = new HeartbeatServerRegistry(new Map([["n1", "a"]]), 0);
  const frame = (seq: number, retoldMs: number): HeartbeatServerUpdate => ({
    ...ask,
    sequence: seq,
    lastResyncIssuedAtMs: retoldMs,
  });
  const asked = (seq: number, retoldMs: number, nowMs: number): boolean | undefined => {
    s.received(frame(seq, retoldMs), nowMs);
    return s.grant(frame(seq, retoldMs), grantTerms({ nowMs, acknowledgeUntilMs: nowMs + 4000 }))?.resync;
  };
  assert.deepEqual(
    [asked(1, 0, 1000), asked(3, 0, 2000), asked(4, 0, 3000), asked(5, 2500, 4000), asked(6, 2500, 5000)],
    [false, true, true, false, false],
  );
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
      s.received(update, nowMs);
      s.applyCancellations(update, nowMs);
    }
    assert.equal(s.cancellationsKnownUntilMs(readMs), want, name);
  }
});

test("cancellations that were told are named until the leader has them, to each leader anew, and not without end", () => {
  const t = new ConfirmedCancellations(60_000);
  const at = new Date(5);
  assert.deepEqual(
    [t.add("job-1", at, 0), t.add("job-2", at, 10), t.add("job-1", at, 20)],
    [true, true, false],
  );
  const names = (nowMs: number): string[] => t.nextUpdate(nowMs).cancellations.map((x) => x.id);
  assert.deepEqual(
    [names(30), t.nextUpdate(30).cancellationSeq, t.nextUpdate(30).cancellationsComplete],
    [["job-1", "job-2"], 2, true],
  );
  t.acknowledgedUpTo(1);
  assert.deepEqual([names(40), t.nextUpdate(40).cancellationSeq], [["job-2"], 2]);
  t.acknowledgedUpTo(2);
  assert.deepEqual([names(50), t.nextUpdate(50).cancellationSeq], [[], 2]);
  t.beginTerm();
  assert.deepEqual(names(60), ["job-1", "job-2"], "the next leader");
  t.expire(60_005);
  assert.deepEqual(names(60_005), ["job-2"], "whoever has not heard of it by then has let its leases end");
  for (let i = 10; i < 5000; i++) t.add(`job-${i}`, at, 61_000);
  assert.equal(t.nextUpdate(61_000).cancellationsComplete, false, "more than a frame holds");
  t.acknowledgedUpTo(t.nextUpdate(61_000).cancellationSeq + 10_000);
  assert.deepEqual(
    [t.nextUpdate(61_000).cancellations, t.nextUpdate(61_000).cancellationsComplete],
    [[], false],
    "some were dropped unsaid",
  );
  t.expire(200_000);
  assert.equal(t.nextUpdate(200_000).cancellationsComplete, true);
});

test("a machine with a cancelled task that stays is left to its lease in time, others go on; a zone counts it", () => {
  const bound = new AcknowledgementLimits({ cancelS: 37, leaseS: 12, clockErrorMs: 25 });
  assert.equal(bound.untilMs, -Infinity, "nothing read yet, nothing acknowledged");
  const machine = (name: string, zone: string): Machine => new Machine(name, null, zone, false, 1, 0);
  const [m1, m2] = [machine("m1", "a"), machine("m2", "b")];
  const job = (cancelledAt: Date | null, ...on: Machine[]): Job => {
    const j = new Job({ id: "job-1", tasks: 2 } as JobSpec, new Date(0), 1, cancelledAt, 0);
    on.forEach((x) => j.attempts.add({ machine: x } as Attempt));
    return j;
  };
  const today = new Date(1_000_000_000);
  const ago = (s: number): Date => new Date(today.getTime() - s * 1000);
  const cases: [string, Job[], string[], [number, number]][] = [
    ["nothing is cancelled", [job(null, m1, m2)], [], [123_960, 123_960]],
    ["just now", [job(ago(0), m1)], [], [123_910, 123_960]],
    ["ten seconds ago", [job(ago(10), m1), job(ago(1), m1)], [], [113_910, 123_960]],
    ["a grant could outlast it", [job(ago(21.5), m1, m2)], ["m1", "m2"], [123_960, 123_960]],
    ["long ago", [job(ago(100), m2), job(ago(3), m1)], ["m2"], [120_910, 123_960]],
    ["its tasks are gone", [job(ago(100))], [], [123_960, 123_960]],
  ];
  for (const [name, jobs, quarantined, zones] of cases) {
    bound.update(100_000, jobs, 100_000, today);
    assert.deepEqual(bound.quarantined, quarantined, name);
    ["a", "b"].forEach((z, i) => assert.ok(Math.abs(bound.zoneUntilMs(z) - zones[i]!) < 10, `${name}: ${z}`));
  }
});

function pick(o: object): object {
  const { acknowledgementsKnownUntilMs, acknowledgementsUnknownBeforeMs } = o as {
    acknowledgementsKnownUntilMs: number;
    acknowledgementsUnknownBeforeMs: number;
  };
  return { acknowledgementsKnownUntilMs, acknowledgementsUnknownBeforeMs };
}

test("workers are spread: new ones early, known ones when others were away, anybody when we fall behind", () => {
  const server = (
    node: string,
    machines: number,
    lagMs = 0,
  ): { node: string; machines: number; lagMs: number } => ({
    node,
    machines,
    lagMs,
  });
  const even = [server("n0", 40), server("n1", 80), server("n2", 80)];
  const survivor = [server("n0", 0), server("n1", 200), server("n2", 0)];
  const cases: [string, Partial<Parameters<typeof chooseServer>[0]>, string | null][] = [
    ["even", { servers: even }, null],
    ["a new one at a full node", { servers: [server("n0", 40), server("n1", 95), server("n2", 65)] }, "n2"],
    [
      "a known one stays there",
      { servers: [server("n0", 40), server("n1", 95), server("n2", 65)], isKnown: true },
      null,
    ],
    ["a known one leaves the only survivor", { servers: survivor, isKnown: true }, "n0"],
    [
      "the leader takes half of a share",
      { servers: [server("n0", 30), server("n1", 95), server("n2", 72)] },
      "n0",
    ],
    [
      "not to one that is behind itself",
      { servers: [server("n0", 9, 900), server("n1", 200), server("n2", 150)] },
      null,
    ],
    ["we are behind, the others are not", { servers: even, isKnown: true, lagMs: 2000 }, "n0"],
    [
      "all are behind alike",
      { servers: even.map((h) => ({ ...h, lagMs: 350 })), isKnown: true, lagMs: 600 },
      null,
    ],
    [
      "a new leader takes hardly any",
      { servers: [server("n0", 12), server("n1", 115), server("n2", 73)], leaderShare: 0.1 },
      "n2",
    ],
    ["its own zone has a controller", { servers: even, isKnown: true, zone: "b" }, "n2"],
    [
      "its own zone's only controller is behind",
      { servers: [even[0]!, even[1]!, server("n2", 80, 900)], zone: "b" },
      null,
    ],
    ["a zone without controllers", { servers: even, zone: "c" }, null],
    ["nobody else has a grant", { servers: [server("n1", 200)] }, null],
  ];
  for (const [name, change, want] of cases) {
    const zoneOf = (node: string): string => (name.includes("own zone") && node === "n2" ? "b" : "a");
    const facts = {
      zone: "a",
      zoneOf,
      node: "n1",
      leader: "n0",
      leaderShare: 0.5,
      lagMs: 0,
      isKnown: false,
      servers: even,
      ...change,
    };
    assert.equal(chooseServer(facts), want, name);
  }
});
