/**
 * All faults of a simulated world, as data: tests create a fault in advance and inject it at a given time. Each family
 * of faults has its own module.
 */
import type { World } from "../world.js";
import { sampleAmount, type Amount } from "./amounts.js";
import { injectControllerFault, type ControllerFault } from "./controllerFaults.js";
import { injectMachineFault, type MachineFault } from "./machineFaults.js";
import { injectNetworkFault, type NetworkFault } from "./networkFaults.js";
import { injectServiceFault, type ServiceFault } from "./serviceFaults.js";
import { injectUserFault, type UserFault } from "./userFaults.js";

/** A fault that injects other faults: after a delay, several times or in a given order. */
export type CompositeFault = { family: "composite" } & (
  | { kind: "delayed"; delayMs: Amount; fault: Fault }
  | { kind: "repeated"; times: number; intervalMs: number; fault: Fault }
  | { kind: "sequence"; faults: Fault[] }
);

/** Any fault; the module of each family exports the functions that create its faults. */
export type Fault = ControllerFault | ServiceFault | NetworkFault | MachineFault | UserFault | CompositeFault;

/** Injects the fault `delayMs` after the injection of this one. */
export function delayed(delayMs: Amount, fault: Fault): CompositeFault {
  return { family: "composite", kind: "delayed", delayMs, fault };
}

/** Injects the fault `times` times, at once and then every `intervalMs`; each injection selects its own targets. */
export function repeated(times: number, intervalMs: number, fault: Fault): CompositeFault {
  return { family: "composite", kind: "repeated", times, intervalMs, fault };
}

/** Injects all faults at the same time, in the given order. */
export function inSequence(...faults: Fault[]): CompositeFault {
  return { family: "composite", kind: "sequence", faults };
}

/**
 * Injects the fault now. Random values are drawn at this time, in the order of the fault's fields unless the family's
 * inject function documents another order; the order must not change, because it determines what each seed means.
 */
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
      world.clock.after(sampleAmount(world.random, composite.delayMs), () => inject(world, composite.fault));
      return;
    case "repeated":
      for (let i = 0; i < composite.times; i++) {
        world.clock.after(i * composite.intervalMs, () => inject(world, composite.fault));
      }
      return;
    case "sequence":
      for (const fault of composite.faults) inject(world, fault);
  }
}
