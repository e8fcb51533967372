import type { Machine } from "../../bookkeeping/workload.js";
import type { Clock } from "../../transport/clock.js";
import { log } from "../../transport/log.js";
import { PROBE_MS, REAP_MS, type CommandDeliveries } from "../commands/commandDeliveries.js";
import type { Estimates } from "../scheduling/estimates.js";
import type { Attempts } from "../term/attempts.js";
import type { MachineRegistry } from "../term/machineRegistry.js";
import type { TermLease } from "../term/termLease.js";
import { liftExpiredCordon } from "./cordon.js";
import type { DeliveryResults } from "./deliveryResults.js";
import type { MachineLeases } from "./machineLeases.js";
import { SilenceCounts } from "./silenceCounts.js";
import { giveUpUnsentStarts } from "./unsentStarts.js";

/** Starts wait this long for a machine to show that it is reachable; then they go elsewhere. */
const UNSENT_START_MS = 2500;
/** A machine whose type is not known yet is expected to boot within this. */
const UNKNOWN_BOOT_S = 60;
/** A machine counts as never booted after so many times its type's boot time, and so much more. */
const BOOT_TIMES = 3;
const BOOT_MARGIN_S = 30;
/** A machine that was up for an earlier leader is waited for through so many leases, and so much more. */
const LEASES_TO_RETURN = 2;
const RETURN_MARGIN_S = 10;
/** A silent machine is kept for its lease and this at the least: until then its tasks may come back. */
const AFTER_LEASE_S = 2;
/** A new leader gives back nothing as never booted before it has been told of what runs. */
const TAKEOVER_MS = 5000;
/** When most of a zone is silent, its machines are given back only after this. */
const ABANDON_ZONE_MS = 90_000;
/** A machine that the cloud has announced to take counts as taken so long after that, if it is silent for so long. */
const INTERRUPTED_GRACE_MS = 5000;
const INTERRUPTED_SILENT_MS = 4000;
/** The cloud charges a minute at the least; nothing is gained by giving a machine back sooner. */
const MIN_RENTAL_MS = 58_000;
/** A machine silent for longer than this is reminded of nothing: its next heartbeat will tell. */
const REMIND_WITHIN_MS = 3000;
/** A command that has shown no effect is sent again after this. */
const REPEAT_MS = 1500;
/** A start that has shown no effect for so long is asked about under a higher fencing token. */
const RAISE_TOKEN_AFTER_MS = 4000;

/** What supervision uses of the term. */
export interface MachineSupervisorContext {
  clock: Clock;
  lease: TermLease;
  machines: MachineRegistry;
  attempts: Attempts;
  deliveries: CommandDeliveries;
  deliveryResults: DeliveryResults;
  leases: MachineLeases;
  estimates: Estimates;
  /** Gives the machine back to the cloud. */
  scaleIn: (machine: Machine, reason: string) => void;
  /** Room on that machine is kept for a job. */
  isReserved: (machine: string) => boolean;
  leaseS: number;
  operator: { suspectS: number; abandonS: number; spotSilentS: number; idleKeepS: number };
}

/**
 * Watches over the machines by the clock: expires leases, gives back what never came up, is lost, faulty or idle, and
 * repeats commands without effect.
 */
export class MachineSupervisor {
  constructor(private readonly context: MachineSupervisorContext) {}

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
    const { startedMs } = this.context.lease;
    // Known only from a record, and silent since this term began: its lease proves the tasks gone, also those
    // whose start is still on its way, for that names an epoch that is over. The machine may yet come back.
    if (machine.attempts.size > 0 && this.context.leases.hasExpired(machine, nowMs)) {
      log.info(`${machine.name}: no heartbeat in this term, its lease has expired`);
      this.loseAttempts(machine);
    }
    // One that has come up for an earlier leader is not late but silent: cut off, say, and back in a while.
    const wasUp = machine.attempts.size > 0 || machine.isListedAsRunning;
    const sinceMs = wasUp ? Math.max(machine.createdMs, startedMs) : machine.createdMs;
    const isLate = nowMs - sinceMs > this.comesUpWithinS(machine, wasUp) * 1000;
    if (isLate && nowMs - startedMs > TAKEOVER_MS) this.context.scaleIn(machine, "never came up");
  }

  private comesUpWithinS(machine: Machine, wasUp: boolean): number {
    const { leaseS, operator } = this.context;
    if (wasUp) return Math.max(leaseS * LEASES_TO_RETURN + RETURN_MARGIN_S, operator.abandonS);
    return (machine.type?.bootS ?? UNKNOWN_BOOT_S) * BOOT_TIMES + BOOT_MARGIN_S;
  }

  private superviseUp(machine: Machine, counts: SilenceCounts, nowMs: number): void {
    const silentMs = nowMs - machine.lastContactMs;
    const unacknowledged = nowMs - machine.lastAcknowledgedMs > this.context.leaseS * 1000;
    if (machine.attempts.size > 0 && unacknowledged && this.context.leases.hasExpired(machine, nowMs)) {
      log.info(`${machine.name}: ${silentFor(silentMs)}, its lease has expired`);
      this.loseAttempts(machine);
    }
    const lostReason = this.lostReason(machine, counts, silentMs, nowMs);
    if (lostReason !== null) {
      this.context.scaleIn(machine, lostReason);
      return;
    }
    this.remind(machine, silentMs, nowMs);
    const unusedReason = this.unusedReason(machine, silentMs, nowMs);
    if (unusedReason !== null) this.context.scaleIn(machine, unusedReason);
  }

  /** Until its lease has expired, a silent machine's tasks count as running and may come back, and most machines do. */
  private abandonAfterMs(): number {
    const { leaseS, operator } = this.context;
    return Math.max(operator.abandonS, leaseS + AFTER_LEASE_S) * 1000;
  }

  /** Why a silent machine is given back; null: it is waited for. */
  private lostReason(
    machine: Machine,
    counts: SilenceCounts,
    silentMs: number,
    nowMs: number,
  ): string | null {
    // When most of a zone is silent at once, its machines are probably well and only we can't hear them:
    // their leases prove their tasks gone, and giving all of them back would leave nothing to come back to.
    const zoneSilent = counts.mostOfZone(machine);
    // Most silent spot machines have been taken, and the cloud's answer to their deletion proves it well before their
    // lease does. Not so when many fall silent that one controller served: then it is the controller.
    const alone = !zoneSilent && !counts.manyOfServer(machine);
    const spotSilentMs = this.context.operator.spotSilentS * 1000;
    if (machine.spot && alone && machine.attempts.size > 0 && silentMs > spotSilentMs)
      return `spot machine ${silentFor(silentMs)}`;
    if (silentMs > (zoneSilent ? ABANDON_ZONE_MS : this.abandonAfterMs())) return silentFor(silentMs);
    const { interruptionAtMs } = machine;
    const interrupted = interruptionAtMs !== null && nowMs > interruptionAtMs + INTERRUPTED_GRACE_MS;
    return interrupted && silentMs > INTERRUPTED_SILENT_MS ? "taken by the cloud" : null;
  }

  /** Why a machine without work is given back; null: it is kept. */
  private unusedReason(machine: Machine, silentMs: number, nowMs: number): string | null {
    if (machine.attempts.size > 0 || machine.idleSinceMs === null) return null;
    if (machine.isCordoned) return machine.cordonReason;
    const { lease, operator } = this.context;
    const unreachableSinceMs = Math.max(machine.idleSinceMs, machine.unreachableSinceMs, lease.startedMs);
    if (!machine.isReachable && nowMs - unreachableSinceMs > this.abandonAfterMs())
      return "sends heartbeats, but can't be reached";
    const idle = nowMs - machine.idleSinceMs > operator.idleKeepS * 1000;
    const reporting = silentMs < operator.suspectS * 1000;
    const isPaid = nowMs - machine.createdMs <= MIN_RENTAL_MS;
    return idle && reporting && !this.context.isReserved(machine.name) && !isPaid ? "idle" : null;
  }

  private loseAttempts(machine: Machine): void {
    for (const attempt of [...machine.attempts]) this.context.attempts.markLost(attempt);
  }

  /** Sends again what has shown no effect yet. */
  private remind(machine: Machine, silentMs: number, nowMs: number): void {
    const { attempts, deliveries } = this.context;
    if (!machine.isReachable || silentMs > UNSENT_START_MS)
      giveUpUnsentStarts(attempts, machine, nowMs - UNSENT_START_MS);
    if (silentMs > REMIND_WITHIN_MS || deliveries.isUnderWay(machine.name)) return;
    const reminder = this.reminderFor(machine, nowMs);
    if (reminder.due) deliveries.sendCommands(machine, reminder.raiseToken);
  }

  /** Whether something has to be sent again, and whether under a higher fencing token. */
  private reminderFor(machine: Machine, nowMs: number): { due: boolean; raiseToken: boolean } {
    const probeAgeMs = nowMs - machine.lastProbeMs;
    let due = !machine.isReachable && probeAgeMs > PROBE_MS;
    let raiseToken = false;
    for (const attempt of machine.attempts) {
      if (attempt.stop) due ||= nowMs - attempt.stop.lastSentMs > REPEAT_MS;
      else if (attempt.isInherited) continue;
      // Became durable when we might start nothing: a machine that has nothing new to say gives no other occasion.
      else if (attempt.isDurable && attempt.sentToken < 0)
        due ||= machine.isReachable && this.context.lease.mayWrite();
      else if (attempt.phase === null && attempt.sentToken >= 0 && nowMs - attempt.sentMs > REPEAT_MS) {
        due = true;
        // An epoch that the start doesn't name, or a token above it, tells what became of it.
        raiseToken ||=
          attempt.sentToken >= machine.fencingToken && nowMs - attempt.sentMs > RAISE_TOKEN_AFTER_MS;
      }
    }
    due ||= probeAgeMs > REAP_MS && machine.listedTasks.some((status) => status.phase === "exited");
    return { due, raiseToken };
  }
}

function silentFor(silentMs: number): string {
  return `silent for ${(silentMs / 1000).toFixed(1)} s`;
}
