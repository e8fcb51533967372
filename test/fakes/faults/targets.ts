/** The targets of faults: controllers, machines or groups of hosts, selected when the fault is injected. */
import type { HostFilter } from "../net.js";
import { CLOUD_ADDRESS, controllerAddress, STATE_STORE_ADDRESS, USER_ADDRESS } from "../region.js";
import type { SimWorker } from "../worker.js";
import type { World } from "../world.js";

/**
 * One controller. "any" is a random one; without a leader, "leader" is the first controller. `follower` is an index
 * into the followers, `index` one into all controllers, modulo their number.
 */
export type ControllerTarget =
  "leader" | "any" | "first besides leader" | { name: string } | { follower: number } | { index: number };

/** One controller, all controllers, or all except the leader. */
export type ControllerGroup = ControllerTarget | "all" | "followers";

/** Returns the name of the target. Draws one random number for "any" and none otherwise. */
export function pickController(world: World, target: ControllerTarget): string {
  const { names, leaderOrFirst, followers } = world.controllers;
  if (target === "leader") return leaderOrFirst;
  if (target === "any") return names[Math.floor(world.random() * names.length)]!;
  if (target === "first besides leader") return names.find((name) => name !== leaderOrFirst)!;
  if ("name" in target) return target.name;
  if ("follower" in target) return followers[target.follower]!;
  return names[target.index % names.length]!;
}

/** Returns the names of the group, in order. Draws one random number for "any" and none otherwise. */
export function pickControllers(world: World, group: ControllerGroup): string[] {
  if (group === "all") return world.controllers.names;
  if (group === "followers") return world.controllers.followers;
  return [pickController(world, group)];
}

/**
 * Machines that are up, in order of their boot: the first ones, those from index `from` up to but not including `to`,
 * the given share of all, rounded up and counted from the first, or those of a zone.
 */
export type MachineSelection =
  | { first: number }
  | { from: number; to: number }
  | { share: number }
  | { zone: string }
  /** Number of consecutive machines, starting at a random one and continuing at the first after the last. */
  | { consecutive: number };

/** Returns the selected workers. Draws one random number for `consecutive`, even without machines, else none. */
export function pickWorkers(world: World, selection: MachineSelection): SimWorker[] {
  const workers = [...world.fleet.workers.values()];
  if ("first" in selection) return workers.slice(0, selection.first);
  if ("from" in selection) return workers.slice(selection.from, selection.to);
  if ("share" in selection) return workers.slice(0, Math.ceil(workers.length * selection.share));
  if ("zone" in selection) return workers.filter(({ machine }) => machine.zone === selection.zone);
  const start = Math.floor(world.random() * workers.length);
  if (workers.length === 0) return [];
  return Array.from(
    { length: selection.consecutive },
    (_, offset) => workers[(start + offset) % workers.length]!,
  );
}

/** Returns a random worker, or undefined if no machine is up. Draws one random number in either case. */
export function pickRandomWorker(world: World): SimWorker | undefined {
  const workers = [...world.fleet.workers.values()];
  return workers[Math.floor(world.random() * workers.length)];
}

/** A kind of host; the address of a host determines its kind. */
export type HostGroup = "state store" | "cloud" | "users" | "controllers" | "workers";

/** The hosts of the listed groups, or those of all other groups. */
export type HostGroups = { only: HostGroup[] } | { allBut: HostGroup[] };

/** Returns a filter that selects the hosts of the given groups. */
export function hostFilter(groups: HostGroups): HostFilter {
  if ("only" in groups) return (host) => groups.only.includes(groupOf(host));
  return (host) => !groups.allBut.includes(groupOf(host));
}

function groupOf(host: string): HostGroup {
  if (host === STATE_STORE_ADDRESS) return "state store";
  if (host === CLOUD_ADDRESS) return "cloud";
  if (host === USER_ADDRESS) return "users";
  return /^n\d/.test(host) ? "controllers" : "workers";
}

/** Returns a filter that selects the hosts with the given addresses. */
export function addressFilter(hosts: string[]): HostFilter {
  const addresses = new Set(hosts);
  return (host) => addresses.has(host);
}

/** Returns the addresses of the controllers with the given names. */
export function controllerAddresses(names: string[]): string[] {
  return names.map(controllerAddress);
}
