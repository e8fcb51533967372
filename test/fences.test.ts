import assert from "node:assert/strict";
import test from "node:test";
import { isIsolated } from "../src/coordination/strays.js";
import { isMajority, mayVouch, readLead } from "../src/coordination/election.js";
import {
  absenceProves,
  firstToken,
  holdUntilMs,
  leaseOverMs,
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

test("isolation: only a leader that hears nearly nobody, while others do", () => {
  const base = { astray: 1, up: 20, heard: 0, leadingMs: 20_000 };
  const cases: [string, Partial<typeof base>, boolean][] = [
    ["nobody reaches it, one machine reached a peer", {}, true],
    ["most reach it, and some boot", { astray: 3, heard: 18 }, false],
    ["nobody reaches anybody", { astray: 0 }, false],
    ["just elected: the workers are still looking", { leadingMs: 3000 }, false],
    ["a zone is cut off, which others hear no better", { astray: 1, heard: 8 }, false],
    ["few are left, and they reach it", { astray: 1, up: 2, heard: 2 }, false],
  ];
  for (const [name, change, want] of cases) assert.equal(isIsolated({ ...base, ...change }), want, name);
});
