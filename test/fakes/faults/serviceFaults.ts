/** Faults of the state store and of the cloud's interface. */
import { controllerAddress } from "../region.js";
import type { World } from "../world.js";
import { drawAmount, type Amount } from "./amounts.js";
import { pickController, type ControllerTarget } from "./targets.js";

/** A fault of the state store or the cloud; the functions below describe each kind. */
export type ServiceFault = { family: "services" } & (
  | { kind: "state store outage"; forMs: Amount }
  | { kind: "state store refuses"; target: ControllerTarget; forMs: Amount }
  | { kind: "slow state store"; byMs: number; forMs: number }
  | { kind: "delayed transactions"; share: Amount; forMs: Amount }
  | { kind: "cloud outage"; forMs: Amount }
);

/** The state store answers every request with an error. */
export function stateStoreOutage(forMs: Amount): ServiceFault {
  return { family: "services", kind: "state store outage", forMs };
}

/** The state store answers one controller with errors, all others as usual. */
export function refuseAtStateStore(target: ControllerTarget, forMs: Amount): ServiceFault {
  return { family: "services", kind: "state store refuses", target, forMs };
}

/** Each response of the state store takes up to so much longer. */
export function slowStateStore(byMs: number, forMs: number): ServiceFault {
  return { family: "services", kind: "slow state store", byMs, forMs };
}

/** That share of transactions gets no response and is carried out seconds later. */
export function delayTransactions(share: Amount, forMs: Amount): ServiceFault {
  return { family: "services", kind: "delayed transactions", share, forMs };
}

/** The cloud's interface answers every request with an error. */
export function cloudOutage(forMs: Amount): ServiceFault {
  return { family: "services", kind: "cloud outage", forMs };
}

/** Brings the fault about now; a target or share is drawn before its time. */
export function injectServiceFault(world: World, fault: ServiceFault): void {
  const { stateStore, cloud, random } = world;
  switch (fault.kind) {
    case "state store outage":
      stateStore.startOutage(drawAmount(random, fault.forMs));
      return;
    case "state store refuses": {
      const host = controllerAddress(pickController(world, fault.target));
      stateStore.refuseHost(host, drawAmount(random, fault.forMs));
      return;
    }
    case "slow state store":
      stateStore.delayResponses(fault.byMs, fault.forMs);
      return;
    case "delayed transactions": {
      const share = drawAmount(random, fault.share);
      stateStore.delayTransactions(share, drawAmount(random, fault.forMs));
      return;
    }
    case "cloud outage":
      cloud.startOutage(drawAmount(random, fault.forMs));
  }
}
