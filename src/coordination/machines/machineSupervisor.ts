/** Looks at every machine by the clock: what heartbeats can't bring about, since they are missing or bring nothing new. */
import type { Machine } from "../../bookkeeping/workload.js";
import { log } from "../../transport/log.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import { CommandReminders, type CommandRemindersContext } from "./commandReminders.js";
import { liftExpiredCordon } from "./cordon.js";
import type { DeliveryResults } from "./deliveryResults.js";
import type { MachineLeases } from "./machineLeases.js";
import {
  hasFailedToBoot,
  lostReason,
  type ScaleInContext,
  silentFor,
  unusedReason,
} from "./scaleInReasons.js";
import { SilenceCounts } from "./silenceCounts.js";

/** What supervision uses of the term. */
export interface MachineSupervisorContext extends ScaleInContext, CommandRemindersContext {
  machines: MachineRegistry;
  deliveryResults: DeliveryResults;
  leases: MachineLeases;
  estimates: Estimates;
  /** Has the cloud delete the machine; the reason is logged. */
  scaleIn: (machine: Machine, reason: string) => void;
}

/**
 * Watches over the machines by the clock: expires leases, scales in what never came up, is lost, faulty or idle, lifts
 * cordons, and has commands without effect repeated.
 */
export class MachineSupervisor {
  private readonly reminders: CommandReminders;

  constructor(private readonly context: MachineSupervisorContext) {
    this.reminders = new CommandReminders(context);
  }

  /** Looks at all machines once; called at each tick of a leader that may write. */
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
    this.context.deliveryResults.expire(nowMs);
  }

  private superviseBooting(machine: Machine, nowMs: number): void {
    // Known only from a record, and silent since this term began: its lease proves the tasks gone, also those whose start
    // is still under way, for that names an epoch that is over. The machine may yet come back.
    if (machine.attempts.size > 0 && this.context.leases.hasExpired(machine, nowMs)) {
      log.info(`${machine.name}: no heartbeat in this term, its lease has expired`);
      this.loseAttempts(machine);
    }
    if (hasFailedToBoot(machine, this.context, nowMs)) this.context.scaleIn(machine, "never came up");
  }

  private superviseUp(machine: Machine, counts: SilenceCounts, nowMs: number): void {
    const isUnacknowledged = nowMs - machine.lastAcknowledgedMs > this.context.leaseS * 1000;
    if (machine.attempts.size > 0 && isUnacknowledged && this.context.leases.hasExpired(machine, nowMs)) {
      log.info(`${machine.name}: ${silentFor(nowMs - machine.lastContactMs)}, its lease has expired`);
      this.loseAttempts(machine);
    }
    const whyLost = lostReason(machine, counts, this.context, nowMs);
    if (whyLost !== null) {
      this.context.scaleIn(machine, whyLost);
      return;
    }
    this.reminders.remind(machine, nowMs);
    const whyUnused = unusedReason(machine, this.context, nowMs);
    if (whyUnused !== null) this.context.scaleIn(machine, whyUnused);
  }

  private loseAttempts(machine: Machine): void {
    for (const attempt of [...machine.attempts]) this.context.attempts.markLost(attempt);
  }
}
