/** Faults of the controllers' processes and of the links between them. */
import type { World } from "../world.js";
import { sampleAmount, type Amount } from "./amounts.js";
import { pickControllers, type ControllerGroup } from "./targets.js";

/** A fault of controllers; the function that creates a kind of fault documents it. */
export type ControllerFault = { family: "controllers" } & (
  | { kind: "crash"; target: ControllerGroup; restartDelayMs: Amount; isDelayShared: boolean }
  | { kind: "freeze"; target: ControllerGroup; durationMs: Amount; extendsFaultPeriod: boolean }
  | { kind: "refused connections"; target: ControllerGroup }
  | { kind: "peer links down"; durationMs: number }
);

/** Ends the processes; each restarts after its own `restartDelayMs`. */
export function crash(target: ControllerGroup, restartDelayMs: Amount): ControllerFault {
  return { family: "controllers", kind: "crash", target, restartDelayMs, isDelayShared: false };
}

/** Ends the processes; all restart after the same delay, even if `restartDelayMs` is random. */
export function crashAndRestartTogether(target: ControllerGroup, restartDelayMs: Amount): ControllerFault {
  return { family: "controllers", kind: "crash", target, restartDelayMs, isDelayShared: true };
}

/** Suspends the processes while their clocks advance; they process the input of that time afterwards. */
export function freeze(target: ControllerGroup, durationMs: Amount): ControllerFault {
  return { family: "controllers", kind: "freeze", target, durationMs, extendsFaultPeriod: false };
}

/** A freeze of a minute or more; it extends the world's fault period by the freeze and the recovery from it. */
export function freezeForLong(target: ControllerGroup, durationMs: Amount): ControllerFault {
  return { family: "controllers", kind: "freeze", target, durationMs, extendsFaultPeriod: true };
}

/** Signals to the other controllers that connections to a controller were refused, although it may be running. */
export function refuseConnections(target: ControllerGroup): ControllerFault {
  return { family: "controllers", kind: "refused connections", target };
}

/** Takes down all links between controllers for `durationMs`; frames sent in that time are lost. */
export function dropPeerLinks(durationMs: number): ControllerFault {
  return { family: "controllers", kind: "peer links down", durationMs };
}

/**
 * Injects the fault now. A random target is drawn before the random delay or duration of each controller, but after a
 * shared restart delay.
 */
export function injectControllerFault(world: World, fault: ControllerFault): void {
  const { controllers, clock, random } = world;
  switch (fault.kind) {
    case "crash": {
      const restartDelayMs = fault.isDelayShared
        ? sampleAmount(random, fault.restartDelayMs)
        : fault.restartDelayMs;
      for (const name of pickControllers(world, fault.target)) {
        controllers.crash(name, sampleAmount(random, restartDelayMs));
      }
      return;
    }
    case "freeze":
      for (const name of pickControllers(world, fault.target)) {
        const durationMs = sampleAmount(random, fault.durationMs);
        if (fault.extendsFaultPeriod) world.extendFaultPeriod(durationMs);
        controllers.freeze(name, durationMs);
      }
      return;
    case "refused connections":
      for (const name of pickControllers(world, fault.target)) controllers.reportPeerRefused(name);
      return;
    case "peer links down":
      controllers.peerLinksDownUntilMs = clock.nowMs() + fault.durationMs;
  }
}
