import assert from "node:assert/strict";
import test from "node:test";
import { isMajority, mayVouch, readLead } from "../src/coordination/election.js";
import type { Serving } from "../src/protocol/peers.js";
import { whereTo } from "../src/coordination/gate.js";
import { Servers } from "../src/coordination/servers.js";
import {
  absenceProves,
  firstToken,
  holdUntilMs,
  leaseOverMs,
  homeGrantMs,
  silentFromMs,
  TOKENS_PER_TERM,
} from "../src/coordination/fences.js";

test("absence from a report proves a task gone only behind a fence", () => {
  const mine = { sentToken: 100, sentSession: 2, inherited: false };
  const old = { sentToken: -1, sentSession: 0, inherited: true };
  const cases: [string, typeof mine, { session: number; token: number }, boolean][] = [
    ["same token: the start may still be on its way", mine, { session: 2, token: 100 }, false],
    ["lower token", mine, { session: 2, token: 99 }, false],
    ["a higher token refuses the start", mine, { session: 2, token: 101 }, true],
    ["a later session refuses the start", mine, { session: 3, token: 100 }, true],
    ["never sent: nothing to prove", { ...mine, sentToken: -1 }, { session: 9, token: 999 }, false],
    ["an earlier leader's, before our token is seen", old, { session: 9, token: 49 }, false],
    ["an earlier leader's, once our token is seen", old, { session: 2, token: 50 }, true],
  ];
  for (const [name, start, report, want] of cases) assert.equal(absenceProves(start, report, 50), want, name);
});

test("tokens: a later term's are all higher, and exact", () => {
  for (const term of [1, 2, 1000, 2 ** 28]) {
    assert.ok(firstToken(term) + TOKENS_PER_TERM - 1 < firstToken(term + 1));
    assert.ok(Number.isSafeInteger(firstToken(term + 1)));
  }
});

test("times: our hold ends early, a worker's lease ends late", () => {
  assert.ok(holdUntilMs(1000, 3000) < 4000);
  assert.ok(leaseOverMs(1000, 14) > 15_000 * 1.0005);
  assert.equal(leaseOverMs(Infinity, 14), Infinity);
});

test("vouching: only by those who are refused too and know of no later term", () => {
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
  for (const [name, change, want] of cases) assert.equal(mayVouch({ ...base, ...change }), want, name);
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
  const view = readLead([
    { key: "lead/hold", value: { n: 4, node: "n1", life: "x", lease: 9 }, version: 12 },
    { key: "lead/term", value: { n: 4, node: "n1" }, version: 11 },
  ]);
  assert.deepEqual(view, { termVersion: 11, term: 4, hold: { term: 4, node: "n1", life: "x", lease: 9 } });
  assert.deepEqual(readLead([]), { termVersion: 0, term: 0, hold: null });
});

test("a lease is over only when nobody can have renewed it, whoever serves the worker", () => {
  const lease = 10;
  const over = leaseOverMs(1000, lease);
  const gone = { grantUntilMs: 900, coveredMs: 500, blindMs: -Infinity };
  const alive = { grantUntilMs: 99_000, coveredMs: over, blindMs: -Infinity };
  const cases: [string, Parameters<typeof silentFromMs>[1], number][] = [
    ["only the leader serves", [], over],
    ["a server whose grant ended before the last answer", [gone], over],
    ["a server that has told all up to then", [alive], over],
    [
      "a server that is silent since, with a grant",
      [{ ...alive, coveredMs: over - 1 }],
      leaseOverMs(99_000, lease),
    ],
    [
      "a server that died: its grant may have been used to the end",
      [{ ...gone, grantUntilMs: 2500 }],
      leaseOverMs(2500, lease),
    ],
    [
      "a server some of whose words were lost",
      [{ ...alive, coveredMs: 50_000, blindMs: 4000 }],
      leaseOverMs(4000, lease),
    ],
    [
      "one that died moves the stretch past what another has told",
      [alive, { ...gone, grantUntilMs: 2500 }],
      leaseOverMs(99_000, lease),
    ],
  ];
  for (const [name, servers, want] of cases) assert.equal(silentFromMs(1000, servers, lease), want, name);
});

/** What a controller asks for its first grant with. */
const ask: Serving = {
  kind: "serving",
  from: "n1",
  term: 1,
  life: 5,
  seq: 1,
  echoMs: 0,
  retoldMs: 0,
  askMs: 70,
  machines: 3,
  lagMs: 0,
  heard: [],
  reports: [],
};

test("the leader's book of servers: gaps blind it, grants end no later than its own right to acknowledge", () => {
  const self = { node: "n0", machines: 1, lagMs: 0 };
  const facts = (s: Servers): object => ({ ...[...s.facts("a", 0)][0] });
  const s = new Servers(new Map([["n1", "b"]]), 9000);
  s.heard(ask, 10_000);
  assert.equal(s.grant(ask, self, 10_000, 10_500, true)?.forMs, 500, "no longer than the mandate");
  assert.equal(s.grant(ask, self, 10_600, 10_500, true), null, "none after it");
  s.heard({ ...ask, seq: 2, echoMs: 10_000 }, 10_400);
  assert.deepEqual(pick(facts(s)), { coveredMs: 10_000, blindMs: -Infinity });
  s.heard({ ...ask, seq: 4, echoMs: 10_300 }, 10_700);
  assert.deepEqual(pick(facts(s)), { coveredMs: 10_300, blindMs: 10_700 }, "a lost frame");
  s.heard({ ...ask, life: 6, seq: 1 }, 10_900);
  assert.deepEqual(pick(facts(s)), { coveredMs: 10_300, blindMs: 10_900 }, "a new process");
});

test("a controller may keep its own zone for longer, and a lease there counts from that; an unheard one's from before", () => {
  const s = new Servers(
    new Map([
      ["n1", "b"],
      ["n2", "b"],
      ["n3", "a"],
    ]),
    9000,
  );
  s.heard(ask, 10_000);
  assert.equal(s.grant(ask, { node: "n0", machines: 1, lagMs: 0 }, 10_000, 12_000, true, 9000)?.homeMs, 9000);
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
  assert.equal([...s.facts("b", 7000)][0]!.blindMs, 10_000);
  assert.equal([...s.facts("a", 7000)][0]!.blindMs, -Infinity);
});

test("what was lost is asked for until it is told again, also of who stood still when it was asked", () => {
  const s = new Servers(new Map([["n1", "a"]]), 0);
  const self = { node: "n0", machines: 1, lagMs: 0 };
  const frame = (seq: number, retoldMs: number): Serving => ({ ...ask, seq, retoldMs });
  const asked = (seq: number, retoldMs: number, nowMs: number): boolean | undefined => {
    s.heard(frame(seq, retoldMs), nowMs);
    return s.grant(frame(seq, retoldMs), self, nowMs, nowMs + 4000, true)?.resync;
  };
  assert.deepEqual(
    [asked(1, 0, 1000), asked(3, 0, 2000), asked(4, 0, 3000), asked(5, 2500, 4000), asked(6, 2500, 5000)],
    [false, true, true, false, false],
  );
});

test("the time that a zone is given for leaves a cancellation its lease, and what it may be known late by", () => {
  const cases: [number, number, number][] = [
    [37, 12, 22_400],
    [40.25, 15.25, 22_400],
    [25, 8, 14_400],
    [14, 12, 0],
    [5, 8, 0],
  ];
  for (const [cancelS, leaseS, want] of cases) {
    const ms = homeGrantMs(cancelS, leaseS);
    assert.ok(ms >= want && ms <= want + 100, `${cancelS} s, ${leaseS} s: ${ms}`);
    assert.ok(ms === 0 || ms / 1000 + leaseS + 2 < cancelS);
  }
});

function pick(o: object): object {
  const { coveredMs, blindMs } = o as { coveredMs: number; blindMs: number };
  return { coveredMs, blindMs };
}

test("workers are spread: new ones early, known ones when others were away, anybody when we fall behind", () => {
  const home = (
    node: string,
    machines: number,
    lagMs = 0,
  ): { node: string; machines: number; lagMs: number } => ({
    node,
    machines,
    lagMs,
  });
  const even = [home("n0", 40), home("n1", 80), home("n2", 80)];
  const survivor = [home("n0", 0), home("n1", 200), home("n2", 0)];
  const cases: [string, Partial<Parameters<typeof whereTo>[0]>, string | null][] = [
    ["even", { homes: even }, null],
    ["a new one at a full node", { homes: [home("n0", 40), home("n1", 95), home("n2", 65)] }, "n2"],
    [
      "a known one stays there",
      { homes: [home("n0", 40), home("n1", 95), home("n2", 65)], isKnown: true },
      null,
    ],
    ["a known one leaves the only survivor", { homes: survivor, isKnown: true }, "n0"],
    ["the leader takes half of a share", { homes: [home("n0", 30), home("n1", 95), home("n2", 72)] }, "n0"],
    [
      "not to one that is behind itself",
      { homes: [home("n0", 9, 900), home("n1", 200), home("n2", 150)] },
      null,
    ],
    ["we are behind, the others are not", { homes: even, isKnown: true, lagMs: 2000 }, "n0"],
    [
      "all are behind alike",
      { homes: even.map((h) => ({ ...h, lagMs: 350 })), isKnown: true, lagMs: 600 },
      null,
    ],
    [
      "a new leader takes hardly any",
      { homes: [home("n0", 12), home("n1", 115), home("n2", 73)], leaderShare: 0.1 },
      "n2",
    ],
    ["its own zone has a controller", { homes: even, isKnown: true, zone: "b" }, "n2"],
    [
      "its own zone's only controller is behind",
      { homes: [even[0]!, even[1]!, home("n2", 80, 900)], zone: "b" },
      null,
    ],
    ["a zone without controllers", { homes: even, zone: "c" }, null],
    ["nobody else has a grant", { homes: [home("n1", 200)] }, null],
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
      homes: even,
      ...change,
    };
    assert.equal(whereTo(facts), want, name);
  }
});
