/** Faults of controllers' processes and of the links between them. */
import type { World } from "../world.js";
import { drawAmount, type Amount } from "./amounts.js";
import { pickControllers, type ControllerGroup } from "./targets.js";

/** A fault of controllers; the functions below describe each kind. */
export type ControllerFault = { family: "controllers" } & (
  | { kind: "crash"; target: ControllerGroup; restartMs: Amount; isRestartShared: boolean }
  | { kind: "freeze"; target: ControllerGroup; forMs: Amount; isExpected: boolean }
  | { kind: "refused connections"; target: ControllerGroup }
  | { kind: "peer links down"; forMs: number }
);

/** Processes end; each is started again after a time of its own. */
export function crash(target: ControllerGroup, restartMs: Amount): ControllerFault {
  return { family: "controllers", kind: "crash", target, restartMs, isRestartShared: false };
}

/** Processes end, and all are started again after the same time. */
export function crashTogether(target: ControllerGroup, restartMs: Amount): ControllerFault {
  return { family: "controllers", kind: "crash", target, restartMs, isRestartShared: true };
}

/** Processes stop while their clocks run on, and go on with all that came in meanwhile. */
export function freeze(target: ControllerGroup, forMs: Amount): ControllerFault {
  return { family: "controllers", kind: "freeze", target, forMs, isExpected: false };
}

/** A freeze of a minute or more; the world counts as disturbed for as long. */
export function freezeForLong(target: ControllerGroup, forMs: Amount): ControllerFault {
  return { family: "controllers", kind: "freeze", target, forMs, isExpected: true };
}

/** The others see connections to a controller that runs refused. */
export function refuseConnections(target: ControllerGroup): ControllerFault {
  return { family: "controllers", kind: "refused connections", target };
}

/** What controllers send each other in that time is lost. */
export function dropPeerLinks(forMs: number): ControllerFault {
  return { family: "controllers", kind: "peer links down", forMs };
}

/** Brings the fault about now; a target is drawn before its time. */
export function injectControllerFault(world: World, fault: ControllerFault): void {
  const { controllers, clock, random } = world;
  switch (fault.kind) {
    case "crash": {
      const restartMs = fault.isRestartShared ? drawAmount(random, fault.restartMs) : fault.restartMs;
      for (const name of pickControllers(world, fault.target)) {
        controllers.crash(name, drawAmount(random, restartMs));
      }
      return;
    }
    case "freeze":
      for (const name of pickControllers(world, fault.target)) {
        const forMs = drawAmount(random, fault.forMs);
        if (fault.isExpected) world.extendFaultPeriod(forMs);
        controllers.freeze(name, forMs);
      }
      return;
    case "refused connections":
      for (const name of pickControllers(world, fault.target)) controllers.reportPeerRefused(name);
      return;
    case "peer links down":
      controllers.peerLinksDownUntilMs = clock.nowMs() + fault.forMs;
  }
}
