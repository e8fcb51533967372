import assert from "node:assert/strict";
import test from "node:test";
import { chooseServer, type ServerChoiceInput } from "../src/coordination/heartbeats/workerBalancer.js";

test("new workers are redirected early, known ones at a large imbalance, and all when this controller is slow", () => {
  const server = (node: string, machines: number, lagMs = 0): ServerChoiceInput["servers"][number] => ({
    node,
    workerCount: machines,
    lagMs,
  });
  const even = [server("n0", 40), server("n1", 80), server("n2", 80)];
  const survivor = [server("n0", 0), server("n1", 200), server("n2", 0)];
  const cases: [name: string, change: Partial<ServerChoiceInput>, target: string | null][] = [
    ["the load is even", { servers: even }, null],
    [
      "a new worker at a controller above its share",
      { servers: [server("n0", 40), server("n1", 95), server("n2", 65)] },
      "n2",
    ],
    [
      "a known worker at a controller above its share",
      { servers: [server("n0", 40), server("n1", 95), server("n2", 65)], isKnown: true },
      null,
    ],
    [
      "a known worker at the only controller that survived an outage",
      { servers: survivor, isKnown: true },
      "n0",
    ],
    [
      "the leader takes half of a share",
      { servers: [server("n0", 30), server("n1", 95), server("n2", 72)] },
      "n0",
    ],
    [
      "the only controller with room is slow",
      { servers: [server("n0", 9, 900), server("n1", 200), server("n2", 150)] },
      null,
    ],
    ["only this controller is slow", { servers: even, isKnown: true, lagMs: 2000 }, "n0"],
    [
      "all controllers are similarly slow",
      { servers: even.map((each) => ({ ...each, lagMs: 350 })), isKnown: true, lagMs: 600 },
      null,
    ],
    [
      "a new leader takes a tenth of a share",
      { servers: [server("n0", 12), server("n1", 115), server("n2", 73)], leaderShare: 0.1 },
      "n2",
    ],
    ["the worker's own zone has a controller", { servers: even, isKnown: true, zone: "b" }, "n2"],
    [
      "the only controller in the worker's own zone is slow",
      { servers: [even[0]!, even[1]!, server("n2", 80, 900)], zone: "b" },
      null,
    ],
    ["the worker's zone has no controllers", { servers: even, zone: "c" }, null],
    ["no other controller has a grant", { servers: [server("n1", 200)] }, null],
  ];
  for (const [name, change, target] of cases) {
    const zoneOf = (node: string): string => (name.includes("own zone") && node === "n2" ? "b" : "a");
    const choice: ServerChoiceInput = {
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
    assert.equal(chooseServer(choice), target, name);
  }
});
