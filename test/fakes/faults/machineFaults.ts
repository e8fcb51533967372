/** Faults of machines and their workers: losses, hangs, dropped messages, failing tasks and boot faults. */
import type { BootFault } from "../cloud.js";
import type { World } from "../world.js";
import { sampleAmount, sampleCount, type Amount, type Count } from "./amounts.js";
import { pickRandomWorker, pickWorkers, type MachineSelection } from "./targets.js";

/** A fault of machines; the function that creates a kind of fault documents it. */
export type MachineFault = { family: "machines" } & (
  | { kind: "hang"; machines: MachineSelection; durationMs: number }
  | { kind: "random hangs"; count: number; durationMs: Amount }
  | { kind: "loss"; machines: MachineSelection }
  | { kind: "random losses"; count: number }
  | { kind: "dropped heartbeats"; machines: MachineSelection; durationMs: number }
  | { kind: "dropped heartbeats of consecutive machines"; count: Count; durationMs: Amount }
  | { kind: "dropped commands to busy machines"; durationMs: number }
  | { kind: "faulty"; count: Count; durationMs: Amount }
  | { kind: "permanently faulty"; count: number }
  | { kind: "disrupted boots"; lostCount: Count; bootFault: BootFault; durationMs: Amount }
);

/** Suspends the workers for `durationMs`; they process the input of that time afterwards. */
export function hangMachines(machines: MachineSelection, durationMs: number): MachineFault {
  return { family: "machines", kind: "hang", machines, durationMs };
}

/** Suspends a randomly selected worker, `count` times; the same worker may be selected more than once. */
export function hangRandomMachines(count: number, durationMs: Amount): MachineFault {
  return { family: "machines", kind: "random hangs", count, durationMs };
}

/** Removes the machines without notice. */
export function loseMachines(machines: MachineSelection): MachineFault {
  return { family: "machines", kind: "loss", machines };
}

/** Removes `count` randomly selected machines without notice, one after the other. */
export function loseRandomMachines(count: number): MachineFault {
  return { family: "machines", kind: "random losses", count };
}

/** Drops the machines' heartbeats at every controller, so that they get no response; commands reach the machines. */
export function dropHeartbeats(machines: MachineSelection, durationMs: number): MachineFault {
  return { family: "machines", kind: "dropped heartbeats", machines, durationMs };
}

/** Like `dropHeartbeats`, for `count` machines that are consecutive in order of boot, starting at a random one. */
export function dropHeartbeatsOfConsecutiveMachines(count: Count, durationMs: Amount): MachineFault {
  return { family: "machines", kind: "dropped heartbeats of consecutive machines", count, durationMs };
}

/** Drops commands sent directly to the machines that have tasks now; they still receive heartbeat responses. */
export function dropCommandsToBusyMachines(durationMs: number): MachineFault {
  return { family: "machines", kind: "dropped commands to busy machines", durationMs };
}

/** For `durationMs`, every task on the first `count` machines fails once its image is fetched. */
export function makeMachinesFaulty(count: Count, durationMs: Amount): MachineFault {
  return { family: "machines", kind: "faulty", count, durationMs };
}

/** From now on, every task on the first `count` machines fails once its image is fetched. */
export function makeMachinesPermanentlyFaulty(count: number): MachineFault {
  return { family: "machines", kind: "permanently faulty", count };
}

/**
 * Removes `lostCount` random machines and applies the boot fault to all machines requested within `durationMs`, among
 * them their replacements. Extends the world's fault period accordingly.
 */
export function disruptBoots(lostCount: Count, bootFault: BootFault, durationMs: Amount): MachineFault {
  return { family: "machines", kind: "disrupted boots", lostCount, bootFault, durationMs };
}

/**
 * Injects the fault now. Random counts are drawn before random durations, and both before random targets, except that
 * `hangRandomMachines` draws each worker before its duration.
 */
export function injectMachineFault(world: World, fault: MachineFault): void {
  const { cloud, fleet, random } = world;
  switch (fault.kind) {
    case "hang":
      for (const worker of pickWorkers(world, fault.machines)) worker.hang(fault.durationMs);
      return;
    case "random hangs":
      hangRandom(world, fault.count, fault.durationMs);
      return;
    case "loss":
      for (const { machine } of pickWorkers(world, fault.machines)) cloud.loseMachine(machine.id);
      return;
    case "random losses":
      loseRandom(world, fault.count);
      return;
    case "dropped heartbeats":
      dropHeartbeatsOf(world, fault.machines, fault.durationMs);
      return;
    case "dropped heartbeats of consecutive machines": {
      const count = sampleCount(random, fault.count);
      const durationMs = sampleAmount(random, fault.durationMs);
      dropHeartbeatsOf(world, { consecutive: count }, durationMs);
      return;
    }
    case "dropped commands to busy machines":
      dropCommandsToBusy(world, fault.durationMs);
      return;
    case "faulty": {
      const count = sampleCount(random, fault.count);
      const ids = makeFaulty(world, count);
      world.clock.after(sampleAmount(random, fault.durationMs), () => {
        for (const id of ids) fleet.faultyMachines.delete(id);
      });
      return;
    }
    case "permanently faulty":
      makeFaulty(world, fault.count);
      return;
    case "disrupted boots": {
      const lostCount = sampleCount(random, fault.lostCount);
      const durationMs = sampleAmount(random, fault.durationMs);
      world.extendFaultPeriod(durationMs);
      cloud.injectBootFault(fault.bootFault, durationMs);
      loseRandom(world, lostCount);
    }
  }
}

function loseRandom(world: World, count: number): void {
  for (let i = 0; i < count; i++) world.cloud.loseMachine(pickRandomWorker(world)?.machine.id ?? "");
}

function hangRandom(world: World, count: number, durationMs: Amount): void {
  for (let i = 0; i < count; i++) pickRandomWorker(world)?.hang(sampleAmount(world.random, durationMs));
}

function dropHeartbeatsOf(world: World, machines: MachineSelection, durationMs: number): void {
  for (const { machine } of pickWorkers(world, machines)) {
    world.controllers.dropHeartbeats(machine.id, durationMs);
  }
}

function dropCommandsToBusy(world: World, durationMs: number): void {
  for (const worker of world.fleet.workers.values()) {
    if (worker.tasks.size > 0) worker.dropCommands(durationMs);
  }
}

/** Makes the first `count` machines faulty and returns their ids. */
function makeFaulty(world: World, count: number): string[] {
  const ids = pickWorkers(world, { first: count }).map(({ machine }) => machine.id);
  for (const id of ids) world.fleet.faultyMachines.add(id);
  return ids;
}
