/** Periodic supervision of machines, for state changes that no heartbeat triggers because it is missing or unchanged. */
import type { Machine } from "../../bookkeeping/workload.js";
import { log, quoteName } from "../../transport/log.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import { CommandRetrier, type CommandRetrierContext } from "./commandRetrier.js";
import { liftExpiredCordon } from "./cordon.js";
import type { DeliveryResultHandler } from "./deliveryResultHandler.js";
import type { MachineLeases } from "./machineLeases.js";
import {
  hasFailedToBoot,
  lostMachineReason,
  type ScaleInContext,
  formatSilence,
  unusedMachineReason,
} from "./scaleInReasons.js";
import { SilenceCounts } from "./silenceCounts.js";

/** The parts of the term that supervision depends on. */
export interface MachineSupervisorContext extends ScaleInContext, CommandRetrierContext {
  machines: MachineRegistry;
  deliveryResults: DeliveryResultHandler;
  leases: MachineLeases;
  estimates: Estimates;
  /** Requests the machine's deletion from the cloud; the reason is logged. */
  scaleIn: (machine: Machine, reason: string) => void;
}

/**
 * Supervises the machines periodically: expires leases, scales in machines that never came up or are lost, faulty or idle,
 * removes expired cordons, and has commands without a visible effect retried.
 */
export class MachineSupervisor {
  private readonly commandRetrier: CommandRetrier;

  constructor(private readonly context: MachineSupervisorContext) {
    this.commandRetrier = new CommandRetrier(context);
  }

  /** Supervises every machine once; called at each tick of a leader that may write. */
  superviseAll(nowMs: number): void {
    const { machines, estimates, operator } = this.context;
    const silence = new SilenceCounts(machines.values(), operator.suspectS, nowMs);
    estimates.recordSpotUptime(silence.spotMachinesUp, nowMs);
    for (const machine of [...machines.values()]) {
      if (machine.state === "leaving") continue;
      liftExpiredCordon(machine, nowMs);
      if (machine.state === "booting") this.superviseBooting(machine, nowMs);
      else this.superviseUp(machine, silence, nowMs);
    }
    this.context.deliveryResults.expireTimedOut(nowMs);
  }

  private superviseBooting(machine: Machine, nowMs: number): void {
    // The machine is known only from a record and has been silent since this term began. Its expired lease proves its tasks
    // gone, including those whose start is still in flight, because such a start names an epoch that has ended. The machine
    // may still come back.
    if (machine.attempts.size > 0 && this.context.leases.hasExpired(machine, nowMs)) {
      log.info(`${quoteName(machine.name)}: lease expired without a heartbeat in this term`);
      this.markAttemptsLost(machine);
    }
    if (hasFailedToBoot(machine, this.context, nowMs)) this.context.scaleIn(machine, "never came up");
  }

  private superviseUp(machine: Machine, counts: SilenceCounts, nowMs: number): void {
    const isUnacknowledged = nowMs - machine.lastAcknowledgedMs > this.context.leaseS * 1000;
    if (machine.attempts.size > 0 && isUnacknowledged && this.context.leases.hasExpired(machine, nowMs)) {
      log.info(`${quoteName(machine.name)}: lease expired, ${formatSilence(nowMs - machine.lastContactMs)}`);
      this.markAttemptsLost(machine);
    }
    const lostReason = lostMachineReason(machine, counts, this.context, nowMs);
    if (lostReason !== null) {
      this.context.scaleIn(machine, lostReason);
      return;
    }
    this.commandRetrier.retryDueCommands(machine, nowMs);
    const unusedReason = unusedMachineReason(machine, this.context, nowMs);
    if (unusedReason !== null) this.context.scaleIn(machine, unusedReason);
  }

  private markAttemptsLost(machine: Machine): void {
    for (const attempt of [...machine.attempts]) this.context.attempts.markLost(attempt);
  }
}
