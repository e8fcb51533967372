/** Faults of the network: partitions, which hold packets and deliver them at their end, and slow links. */
import type { HostFilter } from "../net.js";
import { controllerAddress } from "../region.js";
import type { World } from "../world.js";
import { drawAmount, drawCount, type Amount, type Count } from "./amounts.js";
import {
  controllerHosts,
  hostFilter,
  oneOf,
  pickController,
  pickWorkers,
  type ControllerTarget,
  type HostGroups,
  type MachineSelection,
} from "./targets.js";

/** A fault of the network; the functions below describe each kind. */
export type NetworkFault = { family: "network" } & (
  | { kind: "controller isolated"; target: ControllerTarget; from: HostGroups; forMs: Amount }
  | { kind: "zone isolated"; zone: ZoneSide; from: HostGroups; forMs: Amount }
  | { kind: "machines isolated"; machines: MachineSelection; isOutgoingOnly: boolean; forMs: number }
  | { kind: "machines unreachable"; count: Count; forMs: Amount }
  | { kind: "slow links"; extraDelayMs: number }
);

/** Zone b's machines and the controllers on their side of a partition. */
export interface ZoneSide {
  with: ControllerTarget[];
  /** Machines that boot later are on the zone's side, too; otherwise only those that are up already. */
  hasLaterMachines: boolean;
}

const PARTITIONED_ZONE = "b";
const EVERYTHING: HostGroups = { allBut: [] };

/** One controller reaches none of the hosts in `from`, nor they it. */
export function isolateController(target: ControllerTarget, from: HostGroups, forMs: Amount): NetworkFault {
  return { family: "network", kind: "controller isolated", target, from, forMs };
}

/** A controller reaches neither the state store nor the other controllers, but its workers and users. */
export function isolateFromControlPlane(target: ControllerTarget, forMs: Amount): NetworkFault {
  return isolateController(target, { only: ["state store", "controllers"] }, forMs);
}

/** Zone b's machines, and these controllers with them, reach nothing else of what `from` names. */
export function isolateZone(
  withControllers: ControllerTarget[],
  forMs: Amount,
  from: HostGroups = EVERYTHING,
): NetworkFault {
  const zone = { with: withControllers, hasLaterMachines: true };
  return { family: "network", kind: "zone isolated", zone, from, forMs };
}

/** As `isolateZone`, for the machines that are up at that moment. */
export function isolatePresentZone(withControllers: ControllerTarget[], forMs: Amount): NetworkFault {
  const zone = { with: withControllers, hasLaterMachines: false };
  return { family: "network", kind: "zone isolated", zone, from: EVERYTHING, forMs };
}

/** These machines reach nobody, and nobody them. */
export function isolateMachines(machines: MachineSelection, forMs: number): NetworkFault {
  return { family: "network", kind: "machines isolated", machines, isOutgoingOnly: false, forMs };
}

/** What these machines send is held, what is sent to them arrives. */
export function holdHeartbeats(machines: MachineSelection, forMs: number): NetworkFault {
  return { family: "network", kind: "machines isolated", machines, isOutgoingOnly: true, forMs };
}

/** The heartbeats of so many machines arrive, but responses and commands to them are held. */
export function holdResponses(count: Count, forMs: Amount): NetworkFault {
  return { family: "network", kind: "machines unreachable", count, forMs };
}

/** Every packet takes up to so much longer from now on; 0: as usual. */
export function slowLinks(extraDelayMs: number): NetworkFault {
  return { family: "network", kind: "slow links", extraDelayMs };
}

/** Brings the fault about now; a target or count is drawn before its time. */
export function injectNetworkFault(world: World, fault: NetworkFault): void {
  const { net, random } = world;
  switch (fault.kind) {
    case "controller isolated": {
      const address = controllerAddress(pickController(world, fault.target));
      const from = hostFilter(fault.from);
      const others: HostFilter = (host) => host !== address && from(host);
      net.partition((host) => host === address, others, drawAmount(random, fault.forMs));
      return;
    }
    case "zone isolated": {
      const inside = zoneSideFilter(world, fault.zone);
      const from = hostFilter(fault.from);
      const forMs = drawAmount(random, fault.forMs);
      net.partition(inside, (host) => !inside(host) && from(host), forMs);
      return;
    }
    case "machines isolated":
      net.partition(machineFilter(world, fault.machines), anyHost, fault.forMs, fault.isOutgoingOnly);
      return;
    case "machines unreachable": {
      const count = drawCount(random, fault.count);
      const forMs = drawAmount(random, fault.forMs);
      net.partition(anyHost, machineFilter(world, { first: count }), forMs, true);
      return;
    }
    case "slow links":
      net.extraDelayMs = fault.extraDelayMs;
  }
}

function zoneSideFilter(world: World, side: ZoneSide): HostFilter {
  const controllers = controllerHosts(side.with.map((target) => pickController(world, target)));
  if (side.hasLaterMachines) return world.fleet.zoneHosts(PARTITIONED_ZONE, ...controllers);
  const workers = pickWorkers(world, { zone: PARTITIONED_ZONE });
  return oneOf([...controllers, ...workers.map(({ machine }) => machine.address)]);
}

function machineFilter(world: World, machines: MachineSelection): HostFilter {
  return oneOf(pickWorkers(world, machines).map(({ machine }) => machine.address));
}

function anyHost(): boolean {
  return true;
}
