import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { CompareAndSwapOutcome, ListOutcome } from "../src/bookkeeping/stateStoreClient.js";
import type { LeadershipView } from "../src/coordination/leadership/leadershipRecord.js";
import {
  LeadershipStore,
  type LeadershipStoreContext,
  type WonTerm,
} from "../src/coordination/leadership/leadershipStore.js";

const VIEW: LeadershipView = { revision: 20, termVersion: 11, term: 4, record: null };
const START_MS = 5000;
const LEASE_ID = 9;

/** Creates a context whose state store returns the given answers and records all requests. */
function fakeContext(answers: { leaseId: number | null; swap: CompareAndSwapOutcome; list: ListOutcome }): {
  context: LeadershipStoreContext;
  requests: string[];
} {
  const requests: string[] = [];
  const context: LeadershipStoreContext = {
    node: "n1",
    incarnation: "x",
    leaseMs: 3000,
    clock: { nowMs: () => START_MS, wallTime: () => new Date(0), after: () => ({ cancel: () => undefined }) },
    stateStore: {
      openLease: (ttlMs) => {
        requests.push(`open ${ttlMs}`);
        return Promise.resolve(answers.leaseId);
      },
      compareAndSwap: (conditions, changes) => {
        requests.push(`swap ${JSON.stringify([conditions, changes])}`);
        return Promise.resolve(answers.swap);
      },
      list: (prefix) => {
        requests.push(`list ${prefix}`);
        return Promise.resolve(answers.list);
      },
      renewLease: () => Promise.resolve("failed"),
      endLease: (leaseId) => {
        requests.push(`end ${leaseId}`);
        return Promise.resolve();
      },
    },
  };
  return { context, requests };
}

const WON: WonTerm = { term: 5, termVersion: 21, leaseId: LEASE_ID, leaseRequestedMs: START_MS };
const SWAP = `swap ${JSON.stringify([
  [
    { key: "lead/hold", version: 0 },
    { key: "lead/term", version: 11 },
  ],
  [
    { put: "lead/term", value: { n: 5, node: "n1" } },
    { put: "lead/hold", value: { n: 5, node: "n1", life: "x", lease: LEASE_ID }, lease: LEASE_ID },
  ],
])}`;

/** The keys in the state store after the compare-and-swap was executed. */
const WRITTEN: ListOutcome = {
  kind: "ok",
  revision: 22,
  items: [
    { key: "lead/term", value: { n: 5, node: "n1" }, version: 21 },
    { key: "lead/hold", value: { n: 5, node: "n1", life: "x", lease: LEASE_ID }, version: 21 },
  ],
};
const FAILED: ListOutcome = { kind: "failed" };

describe("a campaign", () => {
  const cases: {
    name: string;
    leaseId?: null;
    swap?: CompareAndSwapOutcome;
    list?: ListOutcome;
    requests: string[];
    won: WonTerm | null;
  }[] = [
    { name: "is lost if no lease can be opened", leaseId: null, requests: ["open 3000"], won: null },
    { name: "is won if the compare-and-swap succeeds", requests: ["open 3000", SWAP], won: WON },
    ...(["conflict", "refused", "no lease"] as const).map((kind) => ({
      name: `is lost, and its lease ended, if the compare-and-swap results in "${kind}"`,
      swap: kind === "conflict" ? { kind, failed: ["lead/hold"] } : { kind },
      requests: ["open 3000", SWAP, "end 9"],
      won: null,
    })),
    {
      name: "is won if a compare-and-swap of unknown outcome is found executed",
      swap: { kind: "unknown" },
      list: WRITTEN,
      requests: ["open 3000", SWAP, "list lead/"],
      won: WON,
    },
    {
      name: "is lost, and its lease ended, if a compare-and-swap of unknown outcome is found not executed",
      swap: { kind: "unknown" },
      list: { kind: "ok", revision: 22, items: [] },
      requests: ["open 3000", SWAP, "list lead/", "end 9"],
      won: null,
    },
    {
      name: "is lost, and its lease ended, if a compare-and-swap of unknown outcome can't be read back",
      swap: { kind: "unknown" },
      requests: ["open 3000", SWAP, "list lead/", "end 9"],
      won: null,
    },
  ];
  for (const { name, leaseId, swap, list, requests: expected, won } of cases)
    test(name, async () => {
      const { context, requests } = fakeContext({
        leaseId: leaseId === null ? null : LEASE_ID,
        swap: swap ?? { kind: "ok", revision: 21 },
        list: list ?? FAILED,
      });
      const outcomes: (WonTerm | null)[] = [];
      await new LeadershipStore(context).campaign(VIEW, (outcome) => outcomes.push(outcome));
      assert.deepEqual(outcomes, [won]);
      assert.deepEqual(requests, expected);
    });
});
