/** The simulated region's configuration: machine types, team limits, addresses, and the settings of each controller. */
import type { PlatformSettings } from "../../src/settings/platform.js";
import type { SimMachineType } from "./cloud.js";

export const CLOUD_ADDRESS = "cloud:1";
export const STATE_STORE_ADDRESS = "state:1";
export const USER_ADDRESS = "user:1";

/** Interval between a worker's heartbeats. */
export const HEARTBEAT_S = 1;
/** Duration of a worker's lease, which an acknowledged heartbeat renews. */
export const LEASE_S = 8;
/** Delay until a new machine appears in the cloud's machine lists. */
export const LIST_LAG_S = 3;
/** Time limit after a confirmed cancellation by which all tasks of the job have ended. */
export const CANCEL_S = 25;

/** The cloud's zones, unless a test names others. */
export const DEFAULT_ZONES: readonly string[] = ["a", "b"];

export const MACHINE_TYPES: Omit<SimMachineType, "zones">[] = [
  {
    name: "small",
    cores: 4,
    gpus: 0,
    memoryGb: 16,
    price: 0.2,
    spotPrice: 0.05,
    bootS: 3,
  },
  {
    name: "large",
    cores: 16,
    gpus: 0,
    memoryGb: 64,
    price: 0.9,
    spotPrice: 0.2,
    bootS: 5,
  },
  { name: "accel", cores: 8, gpus: 2, memoryGb: 64, price: 3, spotPrice: 1, bootS: 4 },
];

/** The two teams of the region. */
export type TeamName = "one" | "two";

/** Maximum resources that each team's tasks may use together. */
export type TeamLimits = Record<TeamName, { cpus: number; gpus: number }>;
export const TEAM_LIMITS: TeamLimits = { one: { cpus: 20, gpus: 4 }, two: { cpus: 24, gpus: 4 } };

/** The parts of the controllers' settings that a test can choose. */
export interface RegionOptions {
  /** Names of all controllers. */
  controllers: string[];
  limits: TeamLimits;
  /** Zone of each controller, in the order of `controllers`; "a" for controllers without an entry. */
  zones: string[];
  /** Names of the cloud's zones. */
  cloudZones: string[];
  objectives: PlatformSettings["objectives"];
}

/** Returns the address at which a controller serves workers and users. */
export function controllerAddress(name: string): string {
  return `${name}:80`;
}

/** Returns the settings of one controller. */
export function platformFor(
  name: string,
  { controllers, limits, zones, cloudZones, objectives }: RegionOptions,
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
    zones: cloudZones,
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
