/** Faults of machines and their workers: lost, hung, failing, or in trouble as they boot. */
import type { BootFault } from "../cloud.js";
import type { World } from "../world.js";
import { drawAmount, drawCount, type Amount, type Count } from "./amounts.js";
import { pickAnyWorker, pickWorkers, type MachineSelection } from "./targets.js";

/** A fault of machines; the functions below describe each kind. */
export type MachineFault = { family: "machines" } & (
  | { kind: "hang"; machines: MachineSelection; forMs: number }
  | { kind: "any hang"; count: number; forMs: Amount }
  | { kind: "loss"; machines: MachineSelection }
  | { kind: "any lost"; count: number }
  | { kind: "heartbeats ignored"; machines: MachineSelection; forMs: number }
  | { kind: "any heartbeats ignored"; count: Count; forMs: Amount }
  | { kind: "busy machines miss commands"; forMs: number }
  | { kind: "faulty"; count: Count; forMs: Amount }
  | { kind: "faulty for ever"; count: number }
  | { kind: "disturbed boots"; lostCount: Count; boots: BootFault; forMs: Amount }
);

/** Workers do nothing for that time, then go on. */
export function hangMachines(machines: MachineSelection, forMs: number): MachineFault {
  return { family: "machines", kind: "hang", machines, forMs };
}

/** So many times, a random worker hangs. */
export function hangAnyMachines(count: number, forMs: Amount): MachineFault {
  return { family: "machines", kind: "any hang", count, forMs };
}

/** Machines stop without notice. */
export function loseMachines(machines: MachineSelection): MachineFault {
  return { family: "machines", kind: "loss", machines };
}

/** So many times, a random machine stops without notice. */
export function loseAnyMachines(count: number): MachineFault {
  return { family: "machines", kind: "any lost", count };
}

/** Heartbeats of these machines get no response from any controller, while commands reach them. */
export function ignoreHeartbeats(machines: MachineSelection, forMs: number): MachineFault {
  return { family: "machines", kind: "heartbeats ignored", machines, forMs };
}

/** As `ignoreHeartbeats`, for so many machines in a row from a random one on. */
export function ignoreAnyHeartbeats(count: Count, forMs: Amount): MachineFault {
  return { family: "machines", kind: "any heartbeats ignored", count, forMs };
}

/** Commands don't reach the machines that have tasks; responses to their heartbeats do. */
export function dropCommandsToBusyMachines(forMs: number): MachineFault {
  return { family: "machines", kind: "busy machines miss commands", forMs };
}

/** The first machines fail every task that they start, for that time. */
export function makeMachinesFaulty(count: Count, forMs: Amount): MachineFault {
  return { family: "machines", kind: "faulty", count, forMs };
}

/** The first machines fail every task that they start, from now on. */
export function makeMachinesFaultyForEver(count: number): MachineFault {
  return { family: "machines", kind: "faulty for ever", count };
}

/** Some machines are lost, and those that replace them are in trouble as they boot. */
export function disturbBoots(lostCount: Count, boots: BootFault, forMs: Amount): MachineFault {
  return { family: "machines", kind: "disturbed boots", lostCount, boots, forMs };
}

/** Brings the fault about now; a count is drawn before its time. */
export function injectMachineFault(world: World, fault: MachineFault): void {
  const { cloud, fleet, random } = world;
  switch (fault.kind) {
    case "hang":
      for (const worker of pickWorkers(world, fault.machines)) worker.hang(fault.forMs);
      return;
    case "any hang":
      hangAny(world, fault.count, fault.forMs);
      return;
    case "loss":
      for (const { machine } of pickWorkers(world, fault.machines)) cloud.loseMachine(machine.id);
      return;
    case "any lost":
      loseAny(world, fault.count);
      return;
    case "heartbeats ignored":
      ignoreHeartbeatsOf(world, fault.machines, fault.forMs);
      return;
    case "any heartbeats ignored": {
      const count = drawCount(random, fault.count);
      const forMs = drawAmount(random, fault.forMs);
      ignoreHeartbeatsOf(world, { inARow: count }, forMs);
      return;
    }
    case "busy machines miss commands":
      dropCommandsToBusy(world, fault.forMs);
      return;
    case "faulty": {
      const count = drawCount(random, fault.count);
      const ids = makeFaulty(world, count);
      world.clock.after(drawAmount(random, fault.forMs), () => {
        for (const id of ids) fleet.faultyMachines.delete(id);
      });
      return;
    }
    case "faulty for ever":
      makeFaulty(world, fault.count);
      return;
    case "disturbed boots": {
      const lostCount = drawCount(random, fault.lostCount);
      const forMs = drawAmount(random, fault.forMs);
      world.extendFaultPeriod(forMs);
      cloud.injectBootFault(fault.boots, forMs);
      loseAny(world, lostCount);
    }
  }
}

function loseAny(world: World, count: number): void {
  for (let i = 0; i < count; i++) world.cloud.loseMachine(pickAnyWorker(world)?.machine.id ?? "");
}

function hangAny(world: World, count: number, forMs: Amount): void {
  for (let i = 0; i < count; i++) pickAnyWorker(world)?.hang(drawAmount(world.random, forMs));
}

function ignoreHeartbeatsOf(world: World, machines: MachineSelection, forMs: number): void {
  for (const { machine } of pickWorkers(world, machines)) {
    world.controllers.dropHeartbeats(machine.id, forMs);
  }
}

function dropCommandsToBusy(world: World, forMs: number): void {
  for (const worker of world.fleet.workers.values()) {
    if (worker.tasks.size > 0) worker.dropCommands(forMs);
  }
}

/** Ids of the machines that are faulty from now on. */
function makeFaulty(world: World, count: number): string[] {
  const ids = pickWorkers(world, { first: count }).map(({ machine }) => machine.id);
  for (const id of ids) world.fleet.faultyMachines.add(id);
  return ids;
}
