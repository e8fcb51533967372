/** Faults of the state store and of the cloud's API. */
import { controllerAddress } from "../region.js";
import type { World } from "../world.js";
import { sampleAmount, type Amount } from "./amounts.js";
import { pickController, type ControllerTarget } from "./targets.js";

/** A fault of the state store or the cloud; the function that creates a kind of fault documents it. */
export type ServiceFault = { family: "services" } & (
  | { kind: "state store outage"; durationMs: Amount }
  | { kind: "state store refuses"; target: ControllerTarget; durationMs: Amount }
  | { kind: "slow state store"; maxExtraDelayMs: number; durationMs: number }
  | { kind: "delayed transactions"; share: Amount; durationMs: Amount }
  | { kind: "cloud outage"; durationMs: Amount }
);

/** The state store answers every request with an error for `durationMs`. */
export function stateStoreOutage(durationMs: Amount): ServiceFault {
  return { family: "services", kind: "state store outage", durationMs };
}

/** The state store answers one controller with errors for `durationMs`; other hosts are not affected. */
export function refuseAtStateStore(target: ControllerTarget, durationMs: Amount): ServiceFault {
  return { family: "services", kind: "state store refuses", target, durationMs };
}

/** Delays every response of the state store by a random time of up to `maxExtraDelayMs`, for `durationMs`. */
export function slowStateStore(maxExtraDelayMs: number, durationMs: number): ServiceFault {
  return { family: "services", kind: "slow state store", maxExtraDelayMs, durationMs };
}

/** For `durationMs`, leaves the given share of transactions unanswered and applies them 2 to 12 s later. */
export function delayTransactions(share: Amount, durationMs: Amount): ServiceFault {
  return { family: "services", kind: "delayed transactions", share, durationMs };
}

/** The cloud's API answers every request with an error for `durationMs`. */
export function cloudOutage(durationMs: Amount): ServiceFault {
  return { family: "services", kind: "cloud outage", durationMs };
}

/** Injects the fault now. A random target or share is drawn before a random duration. */
export function injectServiceFault(world: World, fault: ServiceFault): void {
  const { stateStore, cloud, random } = world;
  switch (fault.kind) {
    case "state store outage":
      stateStore.startOutage(sampleAmount(random, fault.durationMs));
      return;
    case "state store refuses": {
      const host = controllerAddress(pickController(world, fault.target));
      stateStore.refuseHost(host, sampleAmount(random, fault.durationMs));
      return;
    }
    case "slow state store":
      stateStore.delayResponses(fault.maxExtraDelayMs, fault.durationMs);
      return;
    case "delayed transactions": {
      const share = sampleAmount(random, fault.share);
      stateStore.delayTransactions(share, sampleAmount(random, fault.durationMs));
      return;
    }
    case "cloud outage":
      cloud.startOutage(sampleAmount(random, fault.durationMs));
  }
}
