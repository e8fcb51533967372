/** The region that the fakes stand for: machine types, teams' limits, addresses, and the settings of each controller. */
import type { PlatformSettings } from "../../src/settings/platform.js";
import type { SimMachineType } from "./cloud.js";

export const CLOUD_ADDRESS = "cloud:1";
export const STATE_STORE_ADDRESS = "state:1";
export const USER_ADDRESS = "user:1";

/** How often workers send heartbeats, and how long one lets them go on. */
export const HEARTBEAT_S = 1;
export const LEASE_S = 8;
/** New machines appear in the cloud's lists only after this time. */
export const LIST_LAG_S = 3;
/** A cancelled job has no task any more this long after its cancellation was confirmed. */
export const CANCEL_S = 25;

const BOTH_ZONES = ["a", "b"];

export const MACHINE_TYPES: SimMachineType[] = [
  {
    name: "small",
    cores: 4,
    gpus: 0,
    memoryGb: 16,
    price: 0.2,
    spotPrice: 0.05,
    bootS: 3,
    zones: BOTH_ZONES,
  },
  {
    name: "large",
    cores: 16,
    gpus: 0,
    memoryGb: 64,
    price: 0.9,
    spotPrice: 0.2,
    bootS: 5,
    zones: BOTH_ZONES,
  },
  { name: "accel", cores: 8, gpus: 2, memoryGb: 64, price: 3, spotPrice: 1, bootS: 4, zones: BOTH_ZONES },
];

/** The two teams of the region. */
export type TeamName = "one" | "two";

/** What each team's tasks may use at most. */
export type TeamLimits = Record<TeamName, { cpus: number; gpus: number }>;
export const TEAM_LIMITS: TeamLimits = { one: { cpus: 20, gpus: 4 }, two: { cpus: 24, gpus: 4 } };

/** The region as the controllers' settings describe it. */
export interface RegionOptions {
  /** All controllers' names. */
  controllers: string[];
  limits: TeamLimits;
  /** Each controller's zone, in the same order; "a" where none is given. */
  zones: string[];
  objectives: PlatformSettings["objectives"];
}

/** Where that controller serves workers and users. */
export function controllerAddress(name: string): string {
  return `${name}:80`;
}

/** The settings of one controller. */
export function platformOf(
  name: string,
  { controllers, limits, zones, objectives }: RegionOptions,
): PlatformSettings {
  const zoneOf = (controller: string): string => zones[controllers.indexOf(controller)] ?? "a";
  const team = (teamName: TeamName): PlatformSettings["teams"][number] => ({
    name: teamName,
    guaranteedCpus: 8,
    maxCpus: limits[teamName].cpus,
    guaranteedGpus: 2,
    maxGpus: limits[teamName].gpus,
  });
  const peers = controllers
    .filter((controller) => controller !== name)
    .map((peer) => ({ name: peer, zone: zoneOf(peer), address: `${peer}:81` }));
  return {
    node: name,
    zone: zoneOf(name),
    listenAddress: controllerAddress(name),
    peerListenAddress: `${name}:81`,
    peers,
    cloudAddress: CLOUD_ADDRESS,
    stateStoreAddress: STATE_STORE_ADDRESS,
    clusterSize: controllers.length,
    zones: BOTH_ZONES,
    clockErrorMs: 10,
    teams: [team("one"), team("two")],
    objectives,
    heartbeatS: HEARTBEAT_S,
    leaseS: LEASE_S,
    gangWaitS: 20,
    gangPeerS: 4,
    cancelS: CANCEL_S,
    stateStoreRps: 300,
    stateStoreWriteRps: 60,
    stateStoreMaxValueKib: 8,
    stateStoreMaxTransactionChanges: 20,
    cloudRps: 10,
    machineListLagS: LIST_LAG_S,
    maxConnections: 500,
  };
}
