/** What a fault hits: controllers, machines or groups of hosts, chosen at the moment of the fault. */
import type { HostFilter } from "../net.js";
import { CLOUD_ADDRESS, controllerAddress, STATE_STORE_ADDRESS, USER_ADDRESS } from "../region.js";
import type { SimWorker } from "../worker.js";
import type { World } from "../world.js";

/** One controller. Without a leader, "leader" is the first controller. */
export type ControllerTarget =
  "leader" | "any" | "first besides leader" | { name: string } | { follower: number } | { index: number };

/** Several controllers. */
export type ControllerGroup = ControllerTarget | "all" | "followers";

/** Draws one random number for "any", none otherwise. */
export function pickController(world: World, target: ControllerTarget): string {
  const { names, leaderOrFirst, followers } = world.controllers;
  if (target === "leader") return leaderOrFirst;
  if (target === "any") return names[Math.floor(world.random() * names.length)]!;
  if (target === "first besides leader") return names.find((name) => name !== leaderOrFirst)!;
  if ("name" in target) return target.name;
  if ("follower" in target) return followers[target.follower]!;
  return names[target.index % names.length]!;
}

/** In the order of their names; draws one random number for "any", none otherwise. */
export function pickControllers(world: World, group: ControllerGroup): string[] {
  if (group === "all") return world.controllers.names;
  if (group === "followers") return world.controllers.followers;
  return [pickController(world, group)];
}

/** Machines that are up, in order of their boot: all, some by their place in it, a share, or those of a zone. */
export type MachineSelection =
  | { first: number }
  | { from: number; to: number }
  | { share: number }
  | { zone: string }
  /** So many in a row from a random one on. */
  | { inARow: number };

/** Draws one random number for machines in a row, none otherwise. */
export function pickWorkers(world: World, selection: MachineSelection): SimWorker[] {
  const workers = [...world.fleet.workers.values()];
  if ("first" in selection) return workers.slice(0, selection.first);
  if ("from" in selection) return workers.slice(selection.from, selection.to);
  if ("share" in selection) return workers.slice(0, Math.ceil(workers.length * selection.share));
  if ("zone" in selection) return workers.filter(({ machine }) => machine.zone === selection.zone);
  const start = Math.floor(world.random() * workers.length);
  if (workers.length === 0) return [];
  return Array.from({ length: selection.inARow }, (_, offset) => workers[(start + offset) % workers.length]!);
}

/** A random machine's worker; undefined: no machine is up. Draws one random number. */
export function pickAnyWorker(world: World): SimWorker | undefined {
  const workers = [...world.fleet.workers.values()];
  return workers[Math.floor(world.random() * workers.length)];
}

/** Kinds of hosts, distinguished by their addresses. */
export type HostGroup = "state store" | "cloud" | "users" | "controllers" | "workers";

/** Hosts of these groups alone, or of all groups but these. */
export type HostGroups = { only: HostGroup[] } | { allBut: HostGroup[] };

/** Accepts the hosts of these groups. */
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

/** The hosts with those addresses. */
export function oneOf(hosts: string[]): HostFilter {
  const addresses = new Set(hosts);
  return (host) => addresses.has(host);
}

/** The addresses of these controllers. */
export function controllerHosts(names: string[]): string[] {
  return names.map(controllerAddress);
}
