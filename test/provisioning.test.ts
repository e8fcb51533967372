import assert from "node:assert/strict";
import test from "node:test";
import { CapacityRefusals } from "../src/coordination/provisioning/capacityRefusals.js";
import { CloudCallQueue } from "../src/coordination/provisioning/cloudCallQueue.js";
import type { CloudCall } from "../src/coordination/provisioning/cloudCalls.js";
import type { MachineKind, ScaleOutOrder } from "../src/coordination/provisioning/machineOrders.js";
import { OpenOrders } from "../src/coordination/provisioning/openOrders.js";

const SPOT: MachineKind = { type: "small", zone: "a", spot: true };
const ON_DEMAND: MachineKind = { type: "small", zone: "a", spot: false };

function order(idempotencyKey: string): ScaleOutOrder {
  return { ...ON_DEMAND, count: 1, idempotencyKey };
}

test("the backoff of a refused kind of machine is 8 s and doubles with each refusal, up to 40 s", () => {
  const refusals = new CapacityRefusals();
  let nowMs = 1000;
  for (const backoffMs of [8000, 16_000, 32_000, 40_000, 40_000]) {
    refusals.recordRefusal(SPOT, nowMs);
    const isRefusedAt = (atMs: number): boolean => refusals.refusalPredicate(atMs)("small", "a", true);
    assert.equal(isRefusedAt(nowMs + backoffMs - 1), true, `refused until ${backoffMs} ms have passed`);
    nowMs += backoffMs;
    assert.equal(isRefusedAt(nowMs), false, `no longer refused after ${backoffMs} ms`);
  }
});

test("a refusal applies to its kind of machine alone, until a machine of that kind is created or deleted", () => {
  const refusals = new CapacityRefusals();
  refusals.recordRefusal(SPOT, 0);
  assert.equal(
    refusals.refusalPredicate(1)("small", "a", false),
    false,
    "on-demand machines are a different kind",
  );
  assert.equal(
    refusals.refusalPredicate(1)("small", "b", true),
    false,
    "machines in another zone are a different kind",
  );
  refusals.clear("small", "a", true);
  assert.equal(refusals.refusalPredicate(1)("small", "a", true), false);
  refusals.recordRefusal(SPOT, 0);
  assert.equal(
    refusals.refusalPredicate(8000)("small", "a", true),
    false,
    "the backoff restarts at its initial value",
  );
});

/** Guards against kinds that were taken for one another because their names contain the separator of their key. */
test("kinds of machines whose names contain spaces, quotes or commas are told apart", () => {
  const kinds: MachineKind[] = [
    { type: "small", zone: "a b", spot: true },
    { type: "small a", zone: "b", spot: true },
    { type: "small", zone: "a b true", spot: true },
    { type: 'small","a', zone: "b", spot: true },
    { type: "small", zone: 'a","b', spot: true },
  ];
  for (const refused of kinds) {
    const refusals = new CapacityRefusals();
    refusals.recordRefusal(refused, 0);
    const isRefused = refusals.refusalPredicate(1);
    assert.deepEqual(
      kinds.filter(({ type, zone, spot }) => isRefused(type, zone, spot)),
      [refused],
    );
  }
});

test("an order holds at most 50 machines, at most four orders are open, and no idempotency key is reused", () => {
  const orders = new OpenOrders(() => 7);
  const opened = [1, 2, 3, 4].map((count) => orders.open({ ...SPOT, count: count * 20 }));
  assert.deepEqual(
    opened.map(({ idempotencyKey, count }) => [idempotencyKey, count]),
    [
      ["t7-1", 20],
      ["t7-2", 40],
      ["t7-3", 50],
      ["t7-4", 50],
    ],
  );
  assert.deepEqual(
    [orders.isFull, orders.hasOrderForKind(SPOT), orders.hasOrderForKind(ON_DEMAND)],
    [true, true, false],
  );
  assert.deepEqual([orders.close(opened[0]!), orders.close(opened[0]!)], [true, false]);
  assert.deepEqual([orders.isFull, orders.open({ ...SPOT, count: 1 }).idempotencyKey], [false, "t7-5"]);
});

test("calls to the cloud are sent by priority, and failed calls other than lists are requeued", () => {
  const calls = new CloudCallQueue();
  const takeAll = (): CloudCall[] => {
    const taken: CloudCall[] = [];
    for (let call = calls.take(); call; call = calls.take()) taken.push(call);
    return taken;
  };
  calls.requestList();
  calls.addOrder(order("t1-1"));
  calls.addOrder(order("t1-2"));
  calls.addDeletions(["host-1", "host-2"]);
  calls.addDeletions(["host-1"]);
  calls.requestTypes();
  const taken = takeAll();
  const inOrder: CloudCall[] = [
    { kind: "types" },
    { kind: "delete", names: ["host-1", "host-2"] },
    { kind: "create", order: order("t1-1") },
    { kind: "create", order: order("t1-2") },
    { kind: "list", after: "", machines: [] },
  ];
  assert.deepEqual(taken, inOrder);
  assert.equal(calls.isEmpty, true);
  // The calls fail in reverse order: each failed order is put ahead of the queued ones. A failed list is abandoned.
  for (const call of [...taken].reverse()) calls.requeue(call);
  assert.deepEqual(takeAll(), inOrder.slice(0, 4));
});

test("a call deletes at most 100 machines, and a list in progress continues before the next one begins", () => {
  const calls = new CloudCallQueue();
  calls.addDeletions(Array.from({ length: 130 }, (_, index) => `host-${index}`));
  const sizes = [calls.take(), calls.take()].map((call) => (call?.kind === "delete" ? call.names.length : 0));
  assert.deepEqual(sizes, [100, 30]);
  calls.requestList();
  calls.addNextPage({ kind: "list", after: "host-9", machines: [] });
  const pages = [calls.take(), calls.take()].map((call) => (call?.kind === "list" ? call.after : null));
  assert.deepEqual(pages, ["host-9", ""]);
});
