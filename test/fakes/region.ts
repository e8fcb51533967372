/** The region that the fakes stand for: machine types, teams' limits and the settings of each controller. */
import type { Platform } from "../../src/settings/platform.js";
import type { SimType } from "./cloud.js";

export const TYPES: SimType[] = [
  {
    name: "small",
    cores: 4,
    gpus: 0,
    memoryGb: 16,
    price: 0.2,
    lowPrice: 0.05,
    bootS: 3,
    patches: ["a", "b"],
  },
  {
    name: "large",
    cores: 16,
    gpus: 0,
    memoryGb: 64,
    price: 0.9,
    lowPrice: 0.2,
    bootS: 5,
    patches: ["a", "b"],
  },
  { name: "accel", cores: 8, gpus: 2, memoryGb: 64, price: 3, lowPrice: 1, bootS: 4, patches: ["a", "b"] },
];

/** What each team's tasks may use at most. */
export type Limits = Record<"one" | "two", { cpus: number; gpus: number }>;
export const LIMITS: Limits = { one: { cpus: 20, gpus: 4 }, two: { cpus: 24, gpus: 4 } };

export function platformOf(name: string, nodes: string[], limits = LIMITS, zones: string[] = []): Platform {
  const zoneOf = (node: string): string => zones[nodes.indexOf(node)] ?? "a";
  const team = (n: "one" | "two"): Platform["teams"][number] => ({
    name: n,
    guaranteedCpus: 8,
    maxCpus: limits[n].cpus,
    guaranteedGpus: 2,
    maxGpus: limits[n].gpus,
  });
  return {
    node: name,
    zone: zoneOf(name),
    listenAddress: `${name}:80`,
    peerListenAddress: `${name}:81`,
    peers: nodes.filter((n) => n !== name).map((n) => ({ name: n, zone: zoneOf(n), address: `${n}:81` })),
    cloudAddress: "cloud:1",
    stateStoreAddress: "state:1",
    clusterSize: nodes.length,
    zones: ["a", "b"],
    clockErrorMs: 10,
    teams: [team("one"), team("two")],
    objectives: [],
    heartbeatS: 1,
    leaseS: 8,
    gangWaitS: 20,
    gangPeerS: 4,
    cancelS: 25,
    stateStoreRps: 300,
    stateStoreWriteRps: 60,
    stateStoreValueKb: 8,
    stateStoreTransactionChanges: 20,
    cloudRps: 10,
    listLagS: 3,
    maxConnections: 500,
  };
}
