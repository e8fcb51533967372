/** Faults of the network: partitions, which hold packets and deliver them when the partition ends, and slow links. */
import type { HostFilter } from "../net.js";
import { controllerAddress } from "../region.js";
import type { World } from "../world.js";
import { sampleAmount, sampleCount, type Amount, type Count } from "./amounts.js";
import {
  controllerAddresses,
  hostFilter,
  addressFilter,
  pickController,
  pickWorkers,
  type ControllerTarget,
  type HostGroups,
  type MachineSelection,
} from "./targets.js";

/** A fault of the network; the function that creates a kind of fault documents it. */
export type NetworkFault = { family: "network" } & (
  | { kind: "controller isolated"; target: ControllerTarget; from: HostGroups; durationMs: Amount }
  | { kind: "zone isolated"; zone: ZoneSide; from: HostGroups; durationMs: Amount }
  | { kind: "machines isolated"; machines: MachineSelection; isOutgoingOnly: boolean; durationMs: number }
  | { kind: "machines unreachable"; count: Count; durationMs: Amount }
  | { kind: "slow links"; maxExtraDelayMs: number }
);

/** The side of a partition that consists of zone b's machines and some controllers. */
export interface ZoneSide {
  /** Controllers that remain connected to the zone's machines. */
  controllers: ControllerTarget[];
  /** Whether the side includes machines of the zone that boot later, in addition to those that are up. */
  includesLaterMachines: boolean;
}

const PARTITIONED_ZONE = "b";
const ALL_HOSTS: HostGroups = { allBut: [] };

/** Isolates one controller from the other hosts that `from` selects, in both directions. */
export function isolateController(
  target: ControllerTarget,
  from: HostGroups,
  durationMs: Amount,
): NetworkFault {
  return { family: "network", kind: "controller isolated", target, from, durationMs };
}

/** Isolates a controller from the state store and the other controllers; all other hosts can still reach it. */
export function isolateFromControlPlane(target: ControllerTarget, durationMs: Amount): NetworkFault {
  return isolateController(target, { only: ["state store", "controllers"] }, durationMs);
}

/**
 * Isolates zone b's machines, including those that boot later, together with the given controllers from the other hosts
 * that `from` selects; by default, from all other hosts.
 */
export function isolateZone(
  controllers: ControllerTarget[],
  durationMs: Amount,
  from: HostGroups = ALL_HOSTS,
): NetworkFault {
  const zone = { controllers, includesLaterMachines: true };
  return { family: "network", kind: "zone isolated", zone, from, durationMs };
}

/** Like `isolateZone` from all other hosts, but only for machines that are up when the fault is injected. */
export function isolateCurrentZoneMachines(
  controllers: ControllerTarget[],
  durationMs: Amount,
): NetworkFault {
  const zone = { controllers, includesLaterMachines: false };
  return { family: "network", kind: "zone isolated", zone, from: ALL_HOSTS, durationMs };
}

/** Isolates the machines from all hosts, including each other, in both directions. */
export function isolateMachines(machines: MachineSelection, durationMs: number): NetworkFault {
  return { family: "network", kind: "machines isolated", machines, isOutgoingOnly: false, durationMs };
}

/** Holds all packets that the machines send; packets to them arrive. */
export function holdHeartbeats(machines: MachineSelection, durationMs: number): NetworkFault {
  return { family: "network", kind: "machines isolated", machines, isOutgoingOnly: true, durationMs };
}

/** Holds responses and commands to the first `count` machines; their heartbeats arrive. */
export function holdResponses(count: Count, durationMs: Amount): NetworkFault {
  return { family: "network", kind: "machines unreachable", count, durationMs };
}

/** Delays each packet by a random time of up to `maxExtraDelayMs` from now on; 0 restores the normal latency. */
export function slowLinks(maxExtraDelayMs: number): NetworkFault {
  return { family: "network", kind: "slow links", maxExtraDelayMs };
}

/** Injects the fault now. A random target or count is drawn before a random duration. */
export function injectNetworkFault(world: World, fault: NetworkFault): void {
  const { net, random } = world;
  switch (fault.kind) {
    case "controller isolated": {
      const address = controllerAddress(pickController(world, fault.target));
      const from = hostFilter(fault.from);
      const others: HostFilter = (host) => host !== address && from(host);
      net.partition((host) => host === address, others, sampleAmount(random, fault.durationMs));
      return;
    }
    case "zone isolated": {
      const inside = zoneSideFilter(world, fault.zone);
      const from = hostFilter(fault.from);
      const durationMs = sampleAmount(random, fault.durationMs);
      net.partition(inside, (host) => !inside(host) && from(host), durationMs);
      return;
    }
    case "machines isolated":
      net.partition(machineFilter(world, fault.machines), anyHost, fault.durationMs, fault.isOutgoingOnly);
      return;
    case "machines unreachable": {
      const count = sampleCount(random, fault.count);
      const durationMs = sampleAmount(random, fault.durationMs);
      net.partition(anyHost, machineFilter(world, { first: count }), durationMs, true);
      return;
    }
    case "slow links":
      net.maxExtraDelayMs = fault.maxExtraDelayMs;
  }
}

function zoneSideFilter(world: World, side: ZoneSide): HostFilter {
  const controllers = controllerAddresses(side.controllers.map((target) => pickController(world, target)));
  if (side.includesLaterMachines) return world.fleet.zoneHosts(PARTITIONED_ZONE, ...controllers);
  const workers = pickWorkers(world, { zone: PARTITIONED_ZONE });
  return addressFilter([...controllers, ...workers.map(({ machine }) => machine.address)]);
}

function machineFilter(world: World, machines: MachineSelection): HostFilter {
  return addressFilter(pickWorkers(world, machines).map(({ machine }) => machine.address));
}

function anyHost(): boolean {
  return true;
}
