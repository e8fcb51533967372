/** Everything that can go wrong in a simulated world, as data: a fault is described first and injected at its time. */
import type { World } from "../world.js";
import { drawAmount, type Amount } from "./amounts.js";
import { injectControllerFault, type ControllerFault } from "./controllerFaults.js";
import { injectMachineFault, type MachineFault } from "./machineFaults.js";
import { injectNetworkFault, type NetworkFault } from "./networkFaults.js";
import { injectServiceFault, type ServiceFault } from "./serviceFaults.js";
import { injectUserFault, type UserFault } from "./userFaults.js";

/** Faults that follow each other. */
export type CompositeFault = { family: "composite" } & (
  | { kind: "delayed"; delayMs: Amount; fault: Fault }
  | { kind: "repeated"; times: number; everyMs: number; fault: Fault }
  | { kind: "sequence"; faults: Fault[] }
);

/** Each family has a module of its own, with functions that describe its faults. */
export type Fault = ControllerFault | ServiceFault | NetworkFault | MachineFault | UserFault | CompositeFault;

/** The fault, that much later. */
export function later(delayMs: Amount, fault: Fault): CompositeFault {
  return { family: "composite", kind: "delayed", delayMs, fault };
}

/** The same fault again and again; each time chooses its targets anew. */
export function repeatedly(times: number, everyMs: number, fault: Fault): CompositeFault {
  return { family: "composite", kind: "repeated", times, everyMs, fault };
}

/** All of them, in this order. */
export function inSequence(...faults: Fault[]): CompositeFault {
  return { family: "composite", kind: "sequence", faults };
}

/** Brings the fault about now; what it leaves open is drawn at this moment, in the order of its fields. */
export function inject(world: World, fault: Fault): void {
  switch (fault.family) {
    case "controllers":
      injectControllerFault(world, fault);
      return;
    case "services":
      injectServiceFault(world, fault);
      return;
    case "network":
      injectNetworkFault(world, fault);
      return;
    case "machines":
      injectMachineFault(world, fault);
      return;
    case "users":
      injectUserFault(world, fault);
      return;
    case "composite":
      injectCompositeFault(world, fault);
  }
}

function injectCompositeFault(world: World, composite: CompositeFault): void {
  switch (composite.kind) {
    case "delayed":
      world.clock.after(drawAmount(world.random, composite.delayMs), () => inject(world, composite.fault));
      return;
    case "repeated":
      for (let i = 0; i < composite.times; i++) {
        world.clock.after(i * composite.everyMs, () => inject(world, composite.fault));
      }
      return;
    case "sequence":
      for (const fault of composite.faults) inject(world, fault);
  }
}
