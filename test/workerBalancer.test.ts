import assert from "node:assert/strict";
import test from "node:test";
import { chooseServer, type ServerChoice } from "../src/coordination/heartbeats/workerBalancer.js";

test("workers are spread: new ones early, known ones when others were away, all when this controller is slow", () => {
  const server = (node: string, machines: number, lagMs = 0): ServerChoice["servers"][number] => ({
    node,
    machines,
    lagMs,
  });
  const even = [server("n0", 40), server("n1", 80), server("n2", 80)];
  const survivor = [server("n0", 0), server("n1", 200), server("n2", 0)];
  const cases: [name: string, change: Partial<ServerChoice>, target: string | null][] = [
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
      "not to one that is slow itself",
      { servers: [server("n0", 9, 900), server("n1", 200), server("n2", 150)] },
      null,
    ],
    ["this one is slow, the others are not", { servers: even, isKnown: true, lagMs: 2000 }, "n0"],
    [
      "all are slow alike",
      { servers: even.map((each) => ({ ...each, lagMs: 350 })), isKnown: true, lagMs: 600 },
      null,
    ],
    [
      "a new leader takes hardly any",
      { servers: [server("n0", 12), server("n1", 115), server("n2", 73)], leaderShare: 0.1 },
      "n2",
    ],
    ["its own zone has a controller", { servers: even, isKnown: true, zone: "b" }, "n2"],
    [
      "its own zone's only controller is slow",
      { servers: [even[0]!, even[1]!, server("n2", 80, 900)], zone: "b" },
      null,
    ],
    ["a zone without controllers", { servers: even, zone: "c" }, null],
    ["nobody else has a grant", { servers: [server("n1", 200)] }, null],
  ];
  for (const [name, change, target] of cases) {
    const zoneOf = (node: string): string => (name.includes("own zone") && node === "n2" ? "b" : "a");
    const choice: ServerChoice = {
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
